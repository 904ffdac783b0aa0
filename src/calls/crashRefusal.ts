import { hashFraction } from "../core/hashFraction";
import { CallResult } from "./CallResult";

/** An operator may lift a refusal before it lapses. A caller that asks again after this time costs little. */
const MAXIMUM_RETRY_AFTER_MS = 60_000;

/** Callers are spread over this share of the time for which they wait. */
const SPREAD = 0.2;

/** Returns the result of a request that is not sent, since backend servers crashed under it. */
export const crashRefusal = (requestId: string, retryAfterMs: number): CallResult => ({
    kind: "not-run",
    reason: "crashes-backends",
    retryAfterMs: Math.ceil(Math.min(MAXIMUM_RETRY_AFTER_MS, retryAfterMs) * (1 + SPREAD * hashFraction(requestId))),
});
