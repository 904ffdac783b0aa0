import { hashFraction } from "../core/hashFraction";
import { CallResult } from "./CallResult";

/** Nobody knows when an evacuation is withdrawn. A caller that asks again after this time costs little. */
const MINIMUM_RETRY_AFTER_MS = 1_000;

/** Returns the result of a request that does not run because a zone is evacuated. Its Retry-After spreads the callers. */
export const evacuatedResult = (requestId: string): CallResult => ({
    kind: "not-run",
    reason: "evacuated",
    retryAfterMs: Math.round(MINIMUM_RETRY_AFTER_MS * (1 + hashFraction(requestId))),
});
