import { FaultKind } from "./FaultKind";

/** A fault and when it happens, in milliseconds after the start of a move. */
export type ScheduledFault = {
    readonly kind: FaultKind;
    /** Index of the move that it falls into. */
    readonly move: number;
    readonly afterMs: number;
    readonly durationMs: number;
    /** Chooses the replica, the zone or the nodes that are hit. */
    readonly choice: number;
};
