import { Membership } from "../consensus/Membership";
import { createModelNode } from "./createModelNode";
import { ModelBudget } from "./ModelBudget";
import { ModelState } from "./ModelState";

/** Returns the initial state of a group: every replica starts with an empty log and the same members. */
export const createModel = (
    voters: readonly string[],
    learners: readonly string[],
    budget: ModelBudget,
): ModelState => {
    const replicas = (ids: readonly string[]) => ids.map((id) => ({ id, address: id }));
    const membership: Membership = { voters: replicas(voters), learners: replicas(learners) };
    const ids = [...voters, ...learners];
    return {
        nodes: new Map(ids.map((id) => [id, createModelNode(id, membership)])),
        lost: new Map(),
        network: [],
        budget,
        leaders: new Map(),
        committed: new Map(),
        violation: undefined,
    };
};
