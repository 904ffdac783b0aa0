import { CallResult } from "../calls/CallResult";
import { isServerError } from "../calls/isServerError";
import { AttemptOutcome } from "../proxy/AttemptOutcome";

/**
 * What an attempt says of the version that it was sent to; undefined if it says nothing. A request that the backend
 * server shed did not run, so it says nothing of how the version runs requests.
 */
export const attemptOutcome = (result: CallResult): AttemptOutcome | undefined => {
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
