import { MembershipChange } from "../consensus/MembershipChange";
import { Role } from "../consensus/Role";
import { ModelEvent } from "./ModelEvent";
import { ModelState } from "./ModelState";

/** Numbers of actions after which a crash is tried. 0 is a crash before the first action. */
const CRASH_POINTS = [0, 1, 2, 3] as const;

/** The replica that membership changes add as a learner and promote. */
const SPARE_REPLICA_ID = "d";

const membershipChanges: readonly MembershipChange[] = [
    { kind: "add-learner", id: SPARE_REPLICA_ID, address: SPARE_REPLICA_ID },
    { kind: "promote", id: SPARE_REPLICA_ID },
    { kind: "remove", id: "c" },
];

const localEvents = ({ budget, replicas }: ModelState): readonly ModelEvent[] => {
    const events: ModelEvent[] = [];
    for (const [nodeId, { state }] of replicas) {
        const isLeader = state.role === Role.Leader;
        if (!isLeader && budget.electionTimeouts > 0) {
            events.push({ nodeId, input: { kind: "election-timeout" } });
        }
        if (isLeader && budget.heartbeats > 0) {
            events.push({ nodeId, input: { kind: "heartbeat-timeout" } });
        }
        if (isLeader && budget.quorumChecks > 0) {
            events.push({ nodeId, input: { kind: "quorum-check-timeout" } });
        }
        if (isLeader && budget.proposals > 0) {
            events.push({ nodeId, input: { kind: "propose", requestId: "r", command: budget.proposals } });
        }
        if (isLeader && budget.membershipChanges > 0) {
            for (const change of membershipChanges) {
                events.push({ nodeId, input: { kind: "change-membership", requestId: "m", change } });
            }
        }
        if (budget.compactions > 0 && state.commitIndex > state.log.snapshotIndex) {
            events.push({ nodeId, input: { kind: "compact", index: state.commitIndex } });
        }
    }
    return events;
};

const deliveryEvents = ({ budget, network, replicas }: ModelState): readonly ModelEvent[] =>
    network.flatMap(({ from, message, to }, messageIndex) => {
        if (!replicas.has(to)) {
            return [];
        }
        const event: ModelEvent = { nodeId: to, input: { kind: "receive", from, message }, messageIndex };
        return budget.duplicates > 0 ? [event, { ...event, duplicate: true }] : [event];
    });

/** Returns all events that can happen in a state within its budget. */
export const enumerateEvents = (model: ModelState): readonly ModelEvent[] => {
    const events = [...localEvents(model), ...deliveryEvents(model)];
    if (model.budget.crashes === 0) {
        return events;
    }
    const crashes = events.flatMap((event) =>
        CRASH_POINTS.map((crashAfterActions): ModelEvent => ({ ...event, crashAfterActions }))
    );
    return [...events, ...crashes];
};
