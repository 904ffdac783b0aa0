import { CusumScores } from "./CusumScores";
import { RouteAnalysis } from "./RouteAnalysis";
import { SignalName } from "./SignalName";

/** The canary analysis of one rollout: compares the candidate version with the baseline version on each route. */
export type CanaryAnalysisState = {
    readonly service: string;
    readonly baselineVersion: number;
    readonly candidateVersion: number;
    readonly routes: ReadonlyMap<string, RouteAnalysis>;
    /** Scores over all routes together: a fault of the whole version shows here before it shows on a single route. */
    readonly allRoutesScores: Readonly<Record<SignalName, CusumScores>>;
};
