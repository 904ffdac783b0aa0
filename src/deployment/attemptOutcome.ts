import { CallResult } from "../calls/CallResult";
import { AttemptOutcome } from "../proxy/AttemptOutcome";

/** Lowest status that says that the backend server failed. */
const SERVER_ERROR = 500;

/**
 * What an attempt says of the version that it was sent to; undefined if it says nothing. A request that the backend
 * server shed did not run, so it says nothing of how the version runs requests.
 */
export const attemptOutcome = (result: CallResult): AttemptOutcome | undefined => {
    if (result.kind === "answered") {
        return result.answer.status >= SERVER_ERROR ? AttemptOutcome.Failed : AttemptOutcome.Answered;
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
