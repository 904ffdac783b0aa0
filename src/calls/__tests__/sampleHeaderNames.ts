import { HeaderNames } from "../HeaderNames";

/** Header names for tests. */
export const sampleHeaderNames: HeaderNames = {
    requestId: "x-request",
    deadlineMs: "deadline",
    expectedInstance: "expected",
    notExecuted: "x-not-run",
    signature: "signature",
    requestLimit: "limit",
    leaving: "leaving",
    callerService: "caller",
    account: "tenant",
    coldMs: "cold-ms",
    instanceId: "instance-id",
};
