import { createInitialState } from "../consensus/createInitialState";
import { Membership } from "../consensus/Membership";
import { ModelReplica } from "./ModelReplica";

/** Returns a replica whose durable state holds only the initial membership. */
export const createModelReplica = (id: string, snapshotMembership: Membership): ModelReplica => {
    const log = { snapshotIndex: 0, snapshotTerm: 0, snapshotMembership, entries: [] };
    const durable = { term: 0, votedFor: undefined, log };
    return { state: createInitialState({ id, ...durable }), durable };
};
