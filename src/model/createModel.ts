import { initialState } from "../consensus/initialState";
import { Membership } from "../consensus/Membership";
import { ModelBudget } from "./ModelBudget";
import { ModelNode } from "./ModelNode";
import { ModelState } from "./ModelState";

const createNode = (id: string, snapshotMembership: Membership): ModelNode => {
    const log = { snapshotIndex: 0, snapshotTerm: 0, snapshotMembership, entries: [] };
    const durable = { term: 0, votedFor: undefined, log };
    return { state: initialState({ id, ...durable }), durable };
};

/** The first state of a group. */
export const createModel = (
    voters: readonly string[],
    learners: readonly string[],
    budget: ModelBudget,
): ModelState => {
    const replicas = (ids: readonly string[]) => ids.map((id) => ({ id, address: id }));
    const membership: Membership = { voters: replicas(voters), learners: replicas(learners) };
    const ids = [...voters, ...learners];
    return {
        nodes: new Map(ids.map((id) => [id, createNode(id, membership)])),
        network: [],
        budget,
        leaders: new Map(),
        committed: new Map(),
        violation: undefined,
    };
};
