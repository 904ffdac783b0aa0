import { CusumScores } from "./CusumScores";
import { SignalName } from "./SignalName";

/** The analysis of one route: decaying counts of the baseline and the scores of the candidate. */
export type RouteAnalysis = {
    readonly baselineRequests: number;
    readonly baselineCounts: Readonly<Record<SignalName, number>>;
    /** Answered requests of the baseline by bucket of `latencyBucketsMs`. */
    readonly baselineLatencies: readonly number[];
    /** The baseline's counts over the last few batches. */
    readonly recentRequests: number;
    readonly recentCounts: Readonly<Record<SignalName, number>>;
    readonly candidateRequests: number;
    /** Never below 0. */
    readonly scores: Readonly<Record<SignalName, CusumScores>>;
};
