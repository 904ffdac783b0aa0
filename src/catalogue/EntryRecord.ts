import { CatalogueEntry } from "./CatalogueEntry";
import { Move } from "./Move";
import { MoveOutcome } from "./MoveOutcome";
import { VersionedContent } from "./VersionedContent";

/** Everything the catalogue holds on one service. */
export type EntryRecord = {
    readonly service: string;
    /** The entry as last accepted. */
    readonly entry: CatalogueEntry;
    /** The highest version ever given out. Taking back gives out a new one. */
    readonly version: number;
    /** Rises with every change that proxies must learn of. */
    readonly revision: number;
    readonly stable: VersionedContent | undefined;
    /** What was stable before, for the operator who takes a finished version back. */
    readonly previous: VersionedContent | undefined;
    readonly candidate: VersionedContent | undefined;
    readonly move: Move | undefined;
    /** The latest outcomes, oldest first. */
    readonly outcomes: readonly MoveOutcome[];
};
