/**
 * The outcome of an open-loop load. Latencies count from the time at which a request was due to be sent, so that they
 * include stalls in sending.
 */
export type LoadResult = {
    readonly sent: number;
    /** Answers with a status below 500, including late ones. */
    readonly succeeded: number;
    /** Answers with a status of 500 or above, and requests without an answer. */
    readonly failed: number;
    /** Successful answers after the caller's deadline. */
    readonly late: number;
    /** Failed answers that state that the request did not run. */
    readonly refusedNotRun: number;
    /** Requests that may have run: no answer, or a failed answer that says so. */
    readonly unknownOutcome: number;
    /** Successful answers that do not carry the id of their request. */
    readonly misdelivered: number;
    /** Answers by backend version. */
    readonly byBackendVersion: Readonly<Record<string, number>>;
    /** Failed requests by backend version; "none" if there is no answer or it names no version. */
    readonly failedByBackendVersion: Readonly<Record<string, number>>;
    readonly latencyMs: {
        readonly p50: number;
        readonly p90: number;
        readonly p99: number;
        readonly maximum: number;
        readonly mean: number;
    };
    /** Successful answers before the deadline, by the second since the start in which the request was due. */
    readonly successesPerSecond: readonly number[];
    /** Failed requests, likewise by second. */
    readonly failuresPerSecond: readonly number[];
    /** Failed requests by status and body of the answer, or by the error if there is no answer. */
    readonly failureReasons: Readonly<Record<string, number>>;
    /** Time from the start to the last failed request of each backend version. */
    readonly lastFailureMs: Readonly<Record<string, number>>;
    /** Time from the start to the first failed request of each backend version. */
    readonly firstFailureMs: Readonly<Record<string, number>>;
};
