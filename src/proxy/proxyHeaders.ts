/** HTTP header names that proxies add to requests and responses, or read from them. */
export const proxyHeaders = {
    /** Request: the service to call. If a caller omits it, the first label of the host name is used. */
    service: "x-filbertdeal-service",
    /** Request, node to node: the backend version to call. */
    backendVersion: "x-filbertdeal-backend-version",
    /** Request and response: identifies a request in the logs of all processes. */
    requestId: "x-filbertdeal-request-id",
    /** Request: milliseconds left until the deadline. */
    deadlineMs: "x-filbertdeal-deadline-ms",
    /** Request: the service class of the call, for admission control. */
    serviceClass: "x-filbertdeal-class",
    /** Request: the caller, for fairness between callers. */
    caller: "x-filbertdeal-caller",
    /** Request: the attempt number, set on a retry or hedge, so that no later hop retries or hedges it again. */
    attempt: "x-filbertdeal-attempt",
    /** Request, node to node: see `requestFingerprint`. */
    fingerprint: "x-filbertdeal-fingerprint",
    /** Request, node to node: the highest rank of the crashes under the request that the sender knows. */
    crashRank: "x-filbertdeal-crash-rank",
    /** Request, node to node: set if backend servers crashed under it and it runs at one of them at a time. */
    trial: "x-filbertdeal-trial",
    /** Response, node to node: the report of a crash as JSON in base64. */
    crashReport: "x-filbertdeal-crash-report",
    /** Response: set if the request certainly did not run. */
    notRun: "x-filbertdeal-not-run",
    /** Response: "not-run" if a failed request did not run, "unknown" if it may have run. */
    outcome: "x-filbertdeal-outcome",
    /** Response: milliseconds to wait before a retry. */
    retryAfterMs: "x-filbertdeal-retry-after-ms",
} as const;
