import { CatalogueEntry } from "./CatalogueEntry";

/**
 * The commands of the replicated catalogue. A command carries the time that it needs, in milliseconds since the Unix
 * epoch, so that it has the same result on every replica.
 */
export type CatalogueCommand =
    /** Stores a new version of an entry and starts its rollout. */
    | {
        readonly kind: "apply";
        readonly entry: CatalogueEntry;
        /** The version that the entry replaces; 0 for a new entry. */
        readonly expectedVersion: number;
        readonly idempotencyKey: string;
        readonly operator: string;
        readonly atMs: number;
    }
    /** Rolls back the current rollout, or the last finished one if none is in progress. */
    | {
        readonly kind: "take-back";
        readonly service: string;
        /** The version to roll back. If it is not the current one, the command has no effect. */
        readonly version: number;
        readonly reason: string;
        readonly idempotencyKey?: string;
        readonly operator: string;
        readonly atMs: number;
    }
    /** Advances a rollout to its next step. */
    | {
        readonly kind: "advance-move";
        readonly service: string;
        readonly version: number;
        /** Index into the entry's `requestShareSteps`. */
        readonly step: number;
        readonly atMs: number;
    }
    /** Records that a rollout is late, or that every proxy holds its last step. */
    | {
        readonly kind: "mark-move";
        readonly service: string;
        readonly version: number;
        readonly late: boolean;
        readonly inForceAtMs?: number;
        readonly atMs: number;
    }
    /** Ends a rollout: its version becomes the stable one. */
    | {
        readonly kind: "finish-move";
        readonly service: string;
        readonly version: number;
        readonly atMs: number;
    };
