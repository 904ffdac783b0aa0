import { RandomSource } from "../core/RandomSource";
import { FaultKind } from "./FaultKind";
import { ScheduledFault } from "./ScheduledFault";

const LATEST_START_MS = 2_500;
const SHORTEST_MS = 1_000;
const LONGEST_MS = 3_000;
const CHOICES = 1_000_000;

/** Draws one fault of each kind for every second move. The same seed gives the same schedule. */
export const scheduleFaults = (kinds: readonly FaultKind[], moves: number, seed: number): readonly ScheduledFault[] => {
    const random = new RandomSource(seed);
    const schedule: ScheduledFault[] = [];
    for (let move = 0; move < moves; move += 2) {
        for (const kind of kinds) {
            schedule.push({
                kind,
                move: move + random.integer(0, 1),
                afterMs: random.integer(0, LATEST_START_MS),
                durationMs: random.integer(SHORTEST_MS, LONGEST_MS),
                choice: random.integer(0, CHOICES),
            });
        }
    }
    return schedule;
};
