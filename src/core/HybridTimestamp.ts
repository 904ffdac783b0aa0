/** A hybrid logical clock reading: wall time in milliseconds and a counter that orders equal times. */
export type HybridTimestamp = {
    readonly wallMs: number;
    readonly counter: number;
};
