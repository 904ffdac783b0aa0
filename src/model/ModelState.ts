import { LogEntry } from "../consensus/LogEntry";
import { ModelBudget } from "./ModelBudget";
import { ModelMessage } from "./ModelMessage";
import { ModelNode } from "./ModelNode";

/** A state of the whole group, with the history that the invariants need. */
export type ModelState = {
    readonly nodes: ReadonlyMap<string, ModelNode>;
    /** Replicas whose disks were lost, as they last were. What they had synced counts as synced. */
    readonly lost: ReadonlyMap<string, ModelNode>;
    readonly network: readonly ModelMessage[];
    readonly budget: ModelBudget;
    /** Who led in each term. */
    readonly leaders: ReadonlyMap<number, string>;
    /** Every entry that any replica took for committed, by index. */
    readonly committed: ReadonlyMap<number, LogEntry>;
    /** The first invariant that was broken on the way here. */
    readonly violation: string | undefined;
};
