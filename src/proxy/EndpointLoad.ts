/** Load and health of one backend server, from this node's own requests. Times are on the monotonic clock. */
export type EndpointLoad = {
    /** Requests sent and not ended yet. */
    readonly outstanding: number;
    /** Exponentially weighted mean latency in milliseconds, undefined before the first success. */
    readonly latencyMs: number | undefined;
    /** Exponentially weighted share of failed requests, from 0 to 1. */
    readonly failureShare: number;
    readonly consecutiveFailures: number;
    /** Ejections since the last success; each one doubles the time of the next. */
    readonly ejections: number;
    /** Until then the endpoint is ejected from its pool. */
    readonly ejectedUntilMs: number;
    /** Until then the endpoint is avoided because it refused a request. */
    readonly refusedUntilMs: number;
    readonly firstSeenMs: number;
};
