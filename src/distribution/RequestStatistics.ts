/**
 * Outcomes of requests to one version of a service on one route, by which a version is analysed while it is rolled out.
 * Counts of several nodes and periods are added up.
 */
export type RequestStatistics = {
    readonly service: string;
    readonly version: number;
    /** The name of the route. */
    readonly route: string;
    readonly requests: number;
    readonly errors: number;
    readonly refusals: number;
    readonly cancellations: number;
    /**
     * Answered requests by latency: element i counts those of at most `latencyBucketsMs[i]` that exceed the bound
     * before it.
     */
    readonly latencies: readonly number[];
};
