/** A request as one node hands it to the node beside the backend server that is to run it. */
export type CallOrder = {
    /** The caller's own id of the request; the backend server repeats it in its answer. */
    readonly requestId: string;
    readonly route: string;
    readonly service: string;
    /** The backend server, so that no other one at its address runs the request. */
    readonly instanceId: string;
    /** The service of the host where the request began. */
    readonly callerService: string;
    readonly method: string;
    /** Path and query. */
    readonly target: string;
    /** Names and values by turns, without those that concern one connection only. */
    readonly headers: readonly string[];
    readonly body: Uint8Array;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Time that is left for the answer. */
    readonly remainingMs: number;
    /** Time that is left until the answer counts as late; negative once it is. */
    readonly targetRemainingMs: number;
};
