import { RouteJudgement } from "./RouteJudgement";

/** The judgement of one move: by route, for the pair of versions that it compares. */
export type JudgeState = {
    readonly service: string;
    readonly baselineVersion: number;
    readonly candidateVersion: number;
    readonly routes: ReadonlyMap<string, RouteJudgement>;
};
