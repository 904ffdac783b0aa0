import { MembershipChange } from "../consensus/MembershipChange";
import { Role } from "../consensus/Role";
import { ModelEvent } from "./ModelEvent";
import { ModelState } from "./ModelState";

/** Crash points that are tried: before the first action, and after each of the first few. */
const CRASH_POINTS = [0, 1, 2, 3] as const;

/** A spare replica that membership changes add, promote and remove. */
const SPARE = "d";

const membershipChanges: readonly MembershipChange[] = [
    { kind: "add-learner", id: SPARE, address: SPARE },
    { kind: "promote", id: SPARE },
    { kind: "remove", id: "c" },
];

const timerEvents = ({ budget, nodes }: ModelState): readonly ModelEvent[] => {
    const events: ModelEvent[] = [];
    for (const [nodeId, { state }] of nodes) {
        const leads = state.role === Role.Leader;
        if (!leads && budget.electionTimeouts > 0) {
            events.push({ nodeId, input: { kind: "election-timeout" } });
        }
        if (leads && budget.heartbeats > 0) {
            events.push({ nodeId, input: { kind: "heartbeat-timeout" } });
        }
        if (leads && budget.quorumChecks > 0) {
            events.push({ nodeId, input: { kind: "quorum-check-timeout" } });
        }
        if (leads && budget.proposals > 0) {
            events.push({ nodeId, input: { kind: "propose", requestId: "r", command: budget.proposals } });
        }
        if (leads && budget.membershipChanges > 0) {
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

const deliveries = ({ budget, network, nodes }: ModelState): readonly ModelEvent[] =>
    network.flatMap(({ from, message, to }, messageIndex) => {
        if (!nodes.has(to)) {
            return [];
        }
        const event: ModelEvent = { nodeId: to, input: { kind: "receive", from, message }, messageIndex };
        return budget.duplicates > 0 ? [event, { ...event, duplicate: true }] : [event];
    });

/** All events that can happen in a state, within its budget. */
export const enumerateEvents = (model: ModelState): readonly ModelEvent[] => {
    const events = [...timerEvents(model), ...deliveries(model)];
    if (model.budget.crashes === 0) {
        return events;
    }
    const crashes = events.flatMap((event) =>
        CRASH_POINTS.map((crashAfterActions): ModelEvent => ({ ...event, crashAfterActions }))
    );
    return [...events, ...crashes];
};
