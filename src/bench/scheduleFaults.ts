import { RandomSource } from "../core/RandomSource";
import { FaultKind } from "./FaultKind";
import { ScheduledFault } from "./ScheduledFault";

const LATEST_FAULT_START_MS = 2_500;
const SHORTEST_FAULT_MS = 1_000;
const LONGEST_FAULT_MS = 3_000;
const MAXIMUM_CHOICE = 1_000_000;

/** Schedules one fault of each kind for each pair of rollouts. The same seed gives the same schedule. */
export const scheduleFaults = (
    kinds: readonly FaultKind[],
    rolloutCount: number,
    seed: number,
): readonly ScheduledFault[] => {
    const random = new RandomSource(seed);
    const schedule: ScheduledFault[] = [];
    for (let rollout = 0; rollout < rolloutCount; rollout += 2) {
        for (const kind of kinds) {
            schedule.push({
                kind,
                move: rollout + random.integer(0, 1),
                afterMs: random.integer(0, LATEST_FAULT_START_MS),
                durationMs: random.integer(SHORTEST_FAULT_MS, LONGEST_FAULT_MS),
                choice: random.integer(0, MAXIMUM_CHOICE),
            });
        }
    }
    return schedule;
};
