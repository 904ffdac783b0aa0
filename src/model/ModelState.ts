import { LogEntry } from "../consensus/LogEntry";
import { ModelBudget } from "./ModelBudget";
import { ModelMessage } from "./ModelMessage";
import { ModelReplica } from "./ModelReplica";

/** A state of the whole group, with the history that the invariant checks need. */
export type ModelState = {
    readonly replicas: ReadonlyMap<string, ModelReplica>;
    /** The last state of each replica that lost its disk. Entries that it had synced still count as synced. */
    readonly lost: ReadonlyMap<string, ModelReplica>;
    readonly network: readonly ModelMessage[];
    readonly budget: ModelBudget;
    /** The leader of each term. */
    readonly leaders: ReadonlyMap<number, string>;
    /** Every entry that any replica has considered committed, by index. */
    readonly committed: ReadonlyMap<number, LogEntry>;
    /** The first invariant that was violated on the path to this state. */
    readonly violation: string | undefined;
};
