import { CallResult } from "./CallResult";
import { isServerError } from "./isServerError";

/** Weight of a new outcome in the failure share: about the last 15 requests count. */
const FAILURE_WEIGHT = 0.07;

/** Reasons that count as a failure of the backend server itself. */
const failureReasons: ReadonlySet<string> = new Set([
    "shed",
    "unreachable",
    "broken",
    "backend-ended",
    "timed-out",
    "unsigned",
]);

/** Returns the moving average of the share of requests that failed, after another result. */
export const updateFailureShare = (failureShare: number, result: CallResult): number => {
    if (result.kind !== "answered" && !failureReasons.has(result.reason)) {
        return failureShare;
    }
    const failed = result.kind !== "answered" || isServerError(result.answer.status);
    return failureShare + FAILURE_WEIGHT * ((failed ? 1 : 0) - failureShare);
};
