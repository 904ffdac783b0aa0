/** What an open-loop load has seen. Latencies count from the intended start, so that a stall is not left out. */
export type LoadResult = {
    readonly sent: number;
    readonly succeeded: number;
    /** Answers with a server error, by kind, and requests without an answer. */
    readonly failed: number;
    /** Good answers that came after the caller's deadline. */
    readonly late: number;
    readonly refusedNotRun: number;
    readonly unknownOutcome: number;
    /** Answers that belong to another request. */
    readonly misdelivered: number;
    readonly byBackendVersion: Readonly<Record<string, number>>;
    readonly failedByBackendVersion: Readonly<Record<string, number>>;
    readonly latencyMs: {
        readonly p50: number;
        readonly p90: number;
        readonly p99: number;
        readonly maximum: number;
        readonly mean: number;
    };
    /** Good answers in time, in each second since the start. */
    readonly successesPerSecond: readonly number[];
    readonly failuresPerSecond: readonly number[];
    /** Failed requests by what the caller was told. */
    readonly failureReasons: Readonly<Record<string, number>>;
    /** Milliseconds since the start of the last failed answer of each backend version. */
    readonly lastFailureMs: Readonly<Record<string, number>>;
    readonly firstFailureMs: Readonly<Record<string, number>>;
};
