import { RolloutResult } from "./RolloutResult";

/** The outcome of a rollout that has ended. Times are milliseconds since the Unix epoch. */
export type RolloutOutcome = {
    readonly version: number;
    readonly fromVersion: number;
    readonly result: RolloutResult;
    readonly reason: string;
    readonly startedAtMs: number;
    readonly inForceAtMs: number | undefined;
    readonly endedAtMs: number;
    readonly completeByMs: number | undefined;
    /** True if the rollout finished and, if it had a deadline, every proxy held its last step by then. */
    readonly onTime: boolean;
};
