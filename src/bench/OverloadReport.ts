/** What the experiment on overload measured at one load. */
export type OverloadReport = {
    /** Multiple of the load that fills all slots. */
    readonly factor: number;
    readonly offeredPerSecond: number;
    /** Good answers a second. */
    readonly goodputPerSecond: number;
    /** The same load sent straight to the backend servers in turn, without the system. */
    readonly plainGoodputPerSecond: number;
    readonly p99Ms: number;
    readonly refusedNotRun: number;
    readonly unknownOutcome: number;
};
