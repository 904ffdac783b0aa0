import { CallResult } from "../calls/CallResult";
import { isServerError } from "../calls/isServerError";

/**
 * Returns what the time that a request held a slot of the backend server was good for.
 * @param lateMs how long after its target the request ended; negative before it
 */
export const slotOutcome = (result: CallResult, lateMs: number): "in-time" | "late" | "failed" | "discarded" => {
    if (result.kind !== "answered") {
        return "discarded";
    }
    if (isServerError(result.answer.status)) {
        return "failed";
    }
    return lateMs > 0 ? "late" : "in-time";
};
