import { CallResult } from "./CallResult";
import { linkResults } from "./linkResults";
import { OutstandingRequest } from "./OutstandingRequest";

/** Returns the result of a request that failed: it has not run if its body was not sent to the end. */
export const failureOf = ({ bodySender }: OutstandingRequest, result: CallResult): CallResult =>
    bodySender && !bodySender.isComplete ? linkResults.down : result;
