/** What tells an operator's order from others with the same words. */
export type OrderReference = {
    /** Unix time in ms at which the leader received it. */
    readonly atMs: number;
    /**
     * The leader's judgement: accepted orders with the same identity up to this number are too old to be the same order
     * that arrives again. 0 if there are none.
     */
    readonly forgottenNumber: number;
    /** The key by which the operator identifies the order; undefined without one. */
    readonly key?: string;
};
