/** What happened to the requests of one version on one route. Counts add up over nodes and time. */
export type Evidence = {
    readonly service: string;
    readonly version: number;
    readonly route: string;
    readonly requests: number;
    readonly errors: number;
    readonly refusals: number;
    readonly cancellations: number;
    /** Answered requests by latency: bucket i holds those of at most `latencyBucketsMs[i]`. */
    readonly latencies: readonly number[];
};
