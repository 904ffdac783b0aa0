import { CallResult } from "./CallResult";
import { RequestRefusal } from "./RequestRefusal";

/** Least retry-after time for a request that was not run. */
const MINIMUM_RETRY_AFTER_MS = 50;

/** Returns what a caller is told about a request that was not answered. */
export const refusalOf = (result: Exclude<CallResult, { readonly kind: "answered"; }>): RequestRefusal => {
    if (result.kind === "not-run") {
        const retryAfterMs = Math.max(MINIMUM_RETRY_AFTER_MS, result.retryAfterMs);
        return { status: 503, reason: result.reason, retryAfterMs };
    }
    return { status: result.reason === "timed-out" ? 504 : 502, reason: result.reason };
};
