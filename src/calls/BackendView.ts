/** What a node knows of the load and the health of a backend server. */
export type BackendView = {
    /** Requests of this node that are under way there. */
    readonly outstanding: number;
    /** Requests of other nodes there, as last told. */
    readonly others: number;
    readonly serviceMs: number | undefined;
    readonly failureShare: number;
    /** Failures in a row of the way to it: its node or link does not answer. */
    readonly unreachableInARow: number;
    /** On the steady clock: when it was last told or tried. */
    readonly heardMs: number;
};
