/** What a node has seen of one backend server itself. */
export type EndpointLoad = {
    readonly outstanding: number;
    /** Exponentially weighted mean latency in milliseconds, undefined before the first answer. */
    readonly latencyMs: number | undefined;
    /** Exponentially weighted share of failed requests. */
    readonly failureShare: number;
    readonly consecutiveFailures: number;
    readonly ejections: number;
    readonly ejectedUntilMs: number;
    readonly refusedUntilMs: number;
    readonly firstSeenMs: number;
};
