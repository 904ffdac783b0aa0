import { CatalogueEntry } from "./CatalogueEntry";
import { Rollout } from "./Rollout";
import { RolloutOutcome } from "./RolloutOutcome";
import { VersionedContent } from "./VersionedContent";

/** Everything that the catalogue stores about one service. */
export type EntryRecord = {
    readonly service: string;
    /** The last accepted entry; after a rollback, with the content that was restored. */
    readonly entry: CatalogueEntry;
    /** The highest version assigned so far. A rollback assigns a new version too. */
    readonly version: number;
    /** The catalogue's revision at the last change of this record that was distributed to proxies. */
    readonly revision: number;
    /** The last version whose rollout finished or that a rollback restored; undefined before the first one. */
    readonly stable: VersionedContent | undefined;
    /** The stable version before the current one: the target if an operator rolls back a finished version. */
    readonly previous: VersionedContent | undefined;
    /** The version that is being rolled out. */
    readonly candidate: VersionedContent | undefined;
    /** The rollout in progress. */
    readonly move: Rollout | undefined;
    /** The outcomes of the last rollouts, oldest first. */
    readonly outcomes: readonly RolloutOutcome[];
};
