/** The results of the overload experiment at one load. */
export type OverloadReport = {
    /** Offered load as a multiple of the full load, which keeps all slots busy. */
    readonly factor: number;
    readonly offeredPerSecond: number;
    /** Successful responses per second before the deadline. */
    readonly goodputPerSecond: number;
    /** Goodput of the same load sent directly to the backend servers in turn, without the mesh. */
    readonly plainGoodputPerSecond: number;
    readonly p99Ms: number;
    readonly refusedNotRun: number;
    readonly unknownOutcome: number;
};
