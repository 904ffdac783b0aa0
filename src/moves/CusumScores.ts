/**
 * Cumulative sums (CUSUM) of the log-likelihood ratio for a small, a medium and a large rise in the share of affected
 * requests.
 */
export type CusumScores = {
    readonly small: number;
    readonly medium: number;
    readonly large: number;
};
