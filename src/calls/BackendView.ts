/** What this node knows of the load and the health of a backend server. */
export type BackendView = {
    /** Requests from this node that are in progress there. */
    readonly outstanding: number;
    /** Requests from other nodes there, as last reported. */
    readonly fromOtherNodes: number;
    readonly serviceMs: number | undefined;
    readonly failureShare: number;
    /** See `BackendLoad`; 0 without a limit. */
    readonly pacingMs: number;
    /** See `BackendLoad`; undefined if it was not stated. */
    readonly otherZoneRoom?: number;
    /** Time of the monotonic clock until which the pacing asks for no further request. */
    readonly nextSendAtMs: number;
    /**
     * Time of the monotonic clock until which it was or will be cold, 0 if that is not known of it. Only for services
     * with a limit for cold backend servers.
     */
    readonly coldUntilMs: number;
    /** Consecutive attempts that did not reach it: its node or the link did not respond, or it was not on that host. */
    readonly consecutiveUnreachable: number;
    /** Time of the monotonic clock of the last load report or the end of the last attempt. */
    readonly updatedAtMs: number;
};
