import { createInitialState } from "../consensus/createInitialState";
import { Membership } from "../consensus/Membership";
import { ModelNode } from "./ModelNode";

/** Returns a replica whose durable state holds only the initial membership. */
export const createModelNode = (id: string, snapshotMembership: Membership): ModelNode => {
    const log = { snapshotIndex: 0, snapshotTerm: 0, snapshotMembership, entries: [] };
    const durable = { term: 0, votedFor: undefined, log };
    return { state: createInitialState({ id, ...durable }), durable };
};
