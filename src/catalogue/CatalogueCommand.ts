import { CatalogueEntry } from "./CatalogueEntry";

/** The commands of the replicated catalogue. Times come with the command, so that every replica applies the same. */
export type CatalogueCommand =
    | {
        readonly kind: "apply";
        readonly entry: CatalogueEntry;
        readonly expectedVersion: number;
        readonly idempotencyKey: string;
        readonly operator: string;
        readonly atMs: number;
    }
    | {
        readonly kind: "take-back";
        readonly service: string;
        /** The version that is taken back. A command about another version does nothing. */
        readonly version: number;
        readonly reason: string;
        readonly idempotencyKey?: string;
        readonly operator: string;
        readonly atMs: number;
    }
    | {
        readonly kind: "advance-move";
        readonly service: string;
        readonly version: number;
        readonly step: number;
        readonly atMs: number;
    }
    | {
        readonly kind: "mark-move";
        readonly service: string;
        readonly version: number;
        readonly late: boolean;
        readonly inForceAtMs?: number;
        readonly atMs: number;
    }
    | {
        readonly kind: "finish-move";
        readonly service: string;
        readonly version: number;
        readonly atMs: number;
    };
