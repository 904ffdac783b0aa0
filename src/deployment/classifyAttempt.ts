import { CallResult } from "../calls/CallResult";
import { isServerError } from "../calls/isServerError";
import { AttemptOutcome } from "../proxy/AttemptOutcome";

/** An attempt that has ended. */
type EndedAttempt = {
    readonly result: CallResult;
    /** True for an attempt of a hedged request that was cancelled because the other attempt succeeded first. */
    readonly overdue: boolean;
    /** True if its backend server was in slow start when the attempt began. */
    readonly inSlowStart: boolean;
    /** True if its backend server was cold during the attempt, for services with a limit for cold backend servers. */
    readonly isCold: boolean;
};

/**
 * Returns the outcome that an attempt counts as in the request statistics of its backend version, or undefined if it
 * does not count. A request that was refused (for example shed by the backend server) or cancelled, or whose node fell
 * silent, shows nothing about the version, nor does one at a cold backend server. A connection that can't be opened does.
 */
export const classifyAttempt = (
    { inSlowStart, isCold, overdue, result }: EndedAttempt,
): AttemptOutcome | undefined => {
    if (isCold) {
        return undefined;
    }
    // The other attempt of the hedged request succeeded first, but this one still counts against its version.
    if (overdue) {
        return inSlowStart ? undefined : AttemptOutcome.TimedOut;
    }
    if (result.kind === "answered") {
        return isServerError(result.answer.status) ? AttemptOutcome.Failed : AttemptOutcome.Answered;
    }
    switch (result.reason) {
        case "unreachable":
            return AttemptOutcome.Unreachable;
        case "broken":
        case "backend-ended":
        case "unsigned":
            return AttemptOutcome.Broken;
        case "timed-out":
            return AttemptOutcome.TimedOut;
        default:
            return undefined;
    }
};
