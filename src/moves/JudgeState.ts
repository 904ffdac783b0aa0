import { RouteJudgement } from "./RouteJudgement";
import { SignalName } from "./SignalName";
import { SignalSums } from "./SignalSums";

/** The judgement of one move: by route, for the pair of versions that it compares. */
export type JudgeState = {
    readonly service: string;
    readonly baselineVersion: number;
    readonly candidateVersion: number;
    readonly routes: ReadonlyMap<string, RouteJudgement>;
    /** The sums over all routes: a fault of the whole version shows here before it shows on any one of them. */
    readonly allRoutes: Readonly<Record<SignalName, SignalSums>>;
};
