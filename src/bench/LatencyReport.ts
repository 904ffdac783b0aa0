/** The latency that the mesh adds to calls at one rate, compared with direct calls in the same run. */
export type LatencyReport = {
    readonly requestsPerSecond: number;
    readonly directP50Ms: number;
    readonly directP99Ms: number;
    readonly throughP50Ms: number;
    readonly throughP99Ms: number;
    readonly addedP50Ms: number;
    readonly addedP99Ms: number;
};
