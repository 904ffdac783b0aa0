import { EntryRecord } from "./EntryRecord";
import { Rollout } from "./Rollout";
import { RolloutOutcome } from "./RolloutOutcome";
import { RolloutResult } from "./RolloutResult";

const MAXIMUM_OUTCOMES = 50;

const isOnTime = ({ completeByMs, inForceAtMs }: Rollout): boolean =>
    completeByMs === undefined || (inForceAtMs !== undefined && inForceAtMs <= completeByMs);

/** Ends the record's rollout and appends its outcome. A record without a rollout is returned unchanged. */
export const endRollout = (
    record: EntryRecord,
    result: RolloutResult,
    reason: string,
    endedAtMs: number,
): EntryRecord => {
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
        onTime: result === RolloutResult.Finished && isOnTime(move),
    };
    const outcomes = [...record.outcomes, outcome].slice(-MAXIMUM_OUTCOMES);
    return { ...record, move: undefined, candidate: undefined, outcomes };
};
