/** Names of the headers that the system reads and writes. */
export const proxyHeaders = {
    /** Caller to node: which service is meant. Without it the first label of the host counts. */
    service: "x-filbertdeal-service",
    /** Node to node: which backend version is meant. */
    backendVersion: "x-filbertdeal-backend-version",
    /** Both ways: identifies a request in the logs of all processes. */
    requestId: "x-filbertdeal-request-id",
    /** Onward: milliseconds left to answer. */
    deadlineMs: "x-filbertdeal-deadline-ms",
    /** Onward: the service class of the call, for admission. */
    serviceClass: "x-filbertdeal-class",
    /** Onward: who calls, for fairness. */
    caller: "x-filbertdeal-caller",
    /** Onward: set on a retry or hedge, so that no later hop multiplies it. */
    attempt: "x-filbertdeal-attempt",
    /** Back: the request truly did not run. */
    notRun: "x-filbertdeal-not-run",
    /** Back: whether a failed request ran: "not-run", "unknown". */
    outcome: "x-filbertdeal-outcome",
    /** Back: milliseconds after which to come back. */
    retryAfterMs: "x-filbertdeal-retry-after-ms",
} as const;
