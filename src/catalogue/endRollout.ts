import { EntryRecord } from "./EntryRecord";
import { Move } from "./Move";
import { MoveResult } from "./MoveResult";
import { RolloutOutcome } from "./RolloutOutcome";

const MAXIMUM_OUTCOMES = 50;

const isOnTime = ({ completeByMs, inForceAtMs }: Move): boolean =>
    completeByMs === undefined || (inForceAtMs !== undefined && inForceAtMs <= completeByMs);

/** Ends the record's rollout and appends its outcome. A record without a rollout is returned unchanged. */
export const endRollout = (record: EntryRecord, result: MoveResult, reason: string, endedAtMs: number): EntryRecord => {
    const { move } = record;
    if (!move) {
        return record;
    }
    const outcome: RolloutOutcome = {
        version: move.version,
        fromVersion: move.fromVersion,
        result,
        reason,
        startedAtMs: move.startedAtMs,
        inForceAtMs: move.inForceAtMs,
        endedAtMs,
        completeByMs: move.completeByMs,
        onTime: result === MoveResult.Finished && isOnTime(move),
    };
    const outcomes = [...record.outcomes, outcome].slice(-MAXIMUM_OUTCOMES);
    return { ...record, move: undefined, candidate: undefined, outcomes };
};
