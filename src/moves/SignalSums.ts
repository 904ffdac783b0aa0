/** Cumulative sums of the log-likelihood ratio, for a small, a medium and a large shift. */
export type SignalSums = {
    readonly small: number;
    readonly medium: number;
    readonly large: number;
};
