import { EntryRecord } from "./EntryRecord";
import { Move } from "./Move";
import { MoveOutcome } from "./MoveOutcome";
import { MoveResult } from "./MoveResult";

const MAXIMUM_OUTCOMES = 50;

const isOnTime = ({ completeByMs, inForceAtMs }: Move): boolean =>
    completeByMs === undefined || (inForceAtMs !== undefined && inForceAtMs <= completeByMs);

/** Ends the record's move with a result and a reason. A record without a move is returned as it is. */
export const endMove = (record: EntryRecord, result: MoveResult, reason: string, endedAtMs: number): EntryRecord => {
    const { move } = record;
    if (!move) {
        return record;
    }
    const outcome: MoveOutcome = {
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
