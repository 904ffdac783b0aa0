import { Membership } from "../consensus/Membership";
import { createModelReplica } from "./createModelReplica";
import { ModelBudget } from "./ModelBudget";
import { ModelState } from "./ModelState";

/** Returns the initial state of a group: every replica starts with an empty log and the same members. */
export const createModel = (
    voters: readonly string[],
    learners: readonly string[],
    budget: ModelBudget,
): ModelState => {
    const membersOf = (ids: readonly string[]) => ids.map((id) => ({ id, address: id }));
    const membership: Membership = { voters: membersOf(voters), learners: membersOf(learners) };
    const ids = [...voters, ...learners];
    return {
        replicas: new Map(ids.map((id) => [id, createModelReplica(id, membership)])),
        lost: new Map(),
        network: [],
        budget,
        leaders: new Map(),
        committed: new Map(),
        violation: undefined,
    };
};
