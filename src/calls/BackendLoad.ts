/** How busy a backend server is, as the node beside it tells callers with each answer. */
export type BackendLoad = {
    readonly instanceId: string;
    /** Requests that run or wait there. */
    readonly total: number;
    /** How many of these came from the node that is told. */
    readonly yours: number;
    /** Moving average of how long a request runs. */
    readonly serviceMs: number;
    /** Moving average of the share of requests that failed, 0 to 1. */
    readonly failureShare: number;
};
