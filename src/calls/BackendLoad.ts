/** Load of a backend server. The node on its host sends it to other nodes with each result. */
export type BackendLoad = {
    readonly instanceId: string;
    /** Unix time in ms at which it started; 0 if unknown. */
    readonly bornMs: number;
    /** True if it has announced that it is draining, or states so in its responses. */
    readonly isDraining: boolean;
    /** Requests that run or wait there. */
    readonly total: number;
    /** How many of these requests came from the node that this load is sent to. */
    readonly yours: number;
    /** Moving average of how long a request runs. */
    readonly serviceMs: number;
    /** The same for requests of the route whose result this load is sent with; undefined if none has finished. */
    readonly routeServiceMs: number | undefined;
    /** True if backend servers make the requests of that route while they serve others; absent while unknown. */
    readonly isNested?: boolean;
    /** Moving average of the share of requests that failed, 0 to 1. */
    readonly failureShare: number;
    /**
     * Interval in ms at which the node that this load is sent to may send requests, so that all nodes together keep to
     * the limit that the backend server states, or that it has while it is cold. Absent without a limit.
     */
    readonly pacingMs?: number;
    /**
     * How long the backend server stays cold as it stated. Absent if it is warm, or its service has no limit for cold
     * backend servers.
     */
    readonly coldRemainingMs?: number;
    /** How many more requests of other zones it takes now. Stated only to nodes of other zones with narrow links. */
    readonly otherZoneRoom?: number;
};
