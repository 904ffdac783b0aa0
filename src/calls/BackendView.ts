/** What this node knows of the load and the health of a backend server. */
export type BackendView = {
    /** Requests from this node that are in progress there. */
    readonly outstanding: number;
    /** Requests from other nodes there, as last reported. */
    readonly fromOtherNodes: number;
    readonly serviceMs: number | undefined;
    readonly failureShare: number;
    /** Consecutive attempts that failed because its node or the link to it did not respond. */
    readonly consecutiveUnreachable: number;
    /** Time of the monotonic clock of the last load report or the last attempt. */
    readonly updatedAtMs: number;
};
