import { CallResult } from "../calls/CallResult";
import { isServerError } from "../calls/isServerError";
import { AttemptOutcome } from "../proxy/AttemptOutcome";

/** An attempt that has ended, and whether its backend server was in slow start. */
type EndedAttempt = {
    readonly result: CallResult;
    /** Given up because its answer was overdue and another attempt was answered. */
    readonly overdue: boolean;
    readonly isCold: boolean;
};

/**
 * What an attempt says of the version that it was sent to; undefined if it says nothing. A request that the backend
 * server shed did not run, so it says nothing of how the version runs requests.
 */
export const attemptOutcome = ({ isCold, overdue, result }: EndedAttempt): AttemptOutcome | undefined => {
    // A second attempt spares the caller, but the first one's slowness still speaks against its version.
    if (overdue) {
        return isCold ? undefined : AttemptOutcome.TimedOut;
    }
    if (result.kind === "answered") {
        return isServerError(result.answer.status) ? AttemptOutcome.Failed : AttemptOutcome.Answered;
    }
    switch (result.reason) {
        case "unreachable":
            return AttemptOutcome.Unreachable;
        case "broken":
        case "unsigned":
            return AttemptOutcome.Broken;
        case "timed-out":
            return AttemptOutcome.TimedOut;
        default:
            return undefined;
    }
};
