import { pickBackend } from "../pickBackend";
import { RoutableBackend } from "../RoutableBackend";

/** Utilization up to which a zone is filled by its own callers. */
const TARGET_UTILIZATION = 0.9;
const SMOOTHING_MS = 300;

/**
 * An alternative for comparison: each node fills its zone up to a utilization and sends the excess, smoothed, to others.
 * Holds the smoothed share of one node.
 */
export const fillByCapacity = () => {
    let share = 0;
    let updatedAtMs = 0;
    return (input: Parameters<typeof pickBackend>[0]): RoutableBackend | undefined => {
        const { backends: { otherZones, sameZone }, nowMs, random, viewOf } = input;
        const load = sameZone.map(viewOf).reduce((sum, view) => sum + view.outstanding + view.fromOtherNodes, 0);
        const slots = sameZone.reduce((sum, backend) => sum + backend.slots, 0);
        const excess = load > 0 ? Math.max(0, 1 - (TARGET_UTILIZATION * slots) / load) : 0;
        share += (1 - Math.exp(-(nowMs - updatedAtMs) / SMOOTHING_MS)) * (excess - share);
        updatedAtMs = nowMs;
        const leaves = random.fraction() < share;
        const first = leaves ? { sameZone: [], otherZones } : { sameZone, otherZones: [] };
        return pickBackend({ ...input, backends: first }) ?? pickBackend(input);
    };
};
