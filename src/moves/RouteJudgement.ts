import { SignalName } from "./SignalName";
import { SignalSums } from "./SignalSums";

/** What is known of one route: the baseline's recent counts and the running sums against the candidate. */
export type RouteJudgement = {
    readonly baselineRequests: number;
    readonly baselineHarm: Readonly<Record<SignalName, number>>;
    readonly baselineLatencies: readonly number[];
    /** The baseline's counts of the last moments. */
    readonly recentRequests: number;
    readonly recentHarm: Readonly<Record<SignalName, number>>;
    readonly candidateRequests: number;
    /** Never below 0. */
    readonly sums: Readonly<Record<SignalName, SignalSums>>;
};
