import { MoveResult } from "./MoveResult";

/** The report on a move that has ended. Times are milliseconds since the Unix epoch. */
export type MoveOutcome = {
    readonly version: number;
    readonly fromVersion: number;
    readonly result: MoveResult;
    readonly reason: string;
    readonly startedAtMs: number;
    readonly inForceAtMs: number | undefined;
    readonly endedAtMs: number;
    readonly completeByMs: number | undefined;
    readonly onTime: boolean;
};
