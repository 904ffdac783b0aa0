/** A timestamp of a hybrid logical clock: wall time in milliseconds and a counter that orders equal times. */
export type HybridTimestamp = {
    readonly wallMs: number;
    readonly counter: number;
};
