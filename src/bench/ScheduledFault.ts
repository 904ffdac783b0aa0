import { FaultKind } from "./FaultKind";

/** A fault and its time. */
export type ScheduledFault = {
    readonly kind: FaultKind;
    /** Index of the rollout during which the fault occurs. */
    readonly move: number;
    /** Time from the start of the rollout. */
    readonly afterMs: number;
    readonly durationMs: number;
    /** A random number that selects the replica, the zone or the nodes. */
    readonly choice: number;
};
