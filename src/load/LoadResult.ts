/**
 * The outcome of an open-loop load. Latencies count from the time at which a request was due to be sent, so that they
 * include stalls in sending.
 */
export type LoadResult = {
    readonly sent: number;
    /** Responses with a status below 500, including late ones. */
    readonly succeeded: number;
    /** Responses with a status of 500 or above, and requests without a response. */
    readonly failed: number;
    /** Successful responses after the caller's deadline. */
    readonly late: number;
    /** Failed responses that state that the request did not run. */
    readonly refusedNotRun: number;
    /** Requests without a response, and failed ones whose response states that the request may have run. */
    readonly unknownOutcome: number;
    /** Successful responses that do not carry the id of their request. */
    readonly misdelivered: number;
    /** Responses by backend version; "none" if the response names no version. */
    readonly byBackendVersion: Readonly<Record<string, number>>;
    /** Failed requests by backend version; "none" if there is no response or it names no version. */
    readonly failedByBackendVersion: Readonly<Record<string, number>>;
    /** Latencies of the successful responses, late ones included. */
    readonly latencyMs: {
        readonly p50: number;
        readonly p90: number;
        readonly p99: number;
        readonly maximum: number;
        readonly mean: number;
    };
    /** Successful responses before the deadline, by the second since the start in which the request was due. */
    readonly successesPerSecond: readonly number[];
    /** Failed requests, likewise by second. */
    readonly failuresPerSecond: readonly number[];
    /** Failed requests by status and body of the response, or by the error if there is no response. */
    readonly failureReasons: Readonly<Record<string, number>>;
    /** Time from the start to the last failed request of each backend version. */
    readonly lastFailureMs: Readonly<Record<string, number>>;
    /** Time from the start to the first failed request of each backend version. */
    readonly firstFailureMs: Readonly<Record<string, number>>;
};
