import { SignalName } from "./SignalName";

/** What is known of one route: the baseline's recent counts and the running sums against the candidate. */
export type RouteJudgement = {
    readonly baselineRequests: number;
    readonly baselineHarm: Readonly<Record<SignalName, number>>;
    readonly baselineLatencies: readonly number[];
    readonly candidateRequests: number;
    /** Cumulative sums of the log-likelihood ratio, for a small and for a large shift. Never below 0. */
    readonly sums: Readonly<Record<SignalName, SignalSums>>;
};

type SignalSums = {
    readonly small: number;
    readonly large: number;
};
