import { ConsensusAction } from "../consensus/ConsensusAction";
import { ConsensusInput } from "../consensus/ConsensusInput";
import { ConsensusState } from "../consensus/ConsensusState";
import { createInitialState } from "../consensus/createInitialState";
import { logOperations } from "../consensus/logOperations";
import { majorityOfVoters } from "../consensus/majorityOfVoters";
import { Role } from "../consensus/Role";
import { ModelBudget } from "./ModelBudget";
import { ModelEvent } from "./ModelEvent";
import { ModelReplica } from "./ModelReplica";
import { ModelState } from "./ModelState";
import { ProtocolStep } from "./ProtocolStep";

type DurableState = ModelReplica["durable"];

const budgetKindOf: Readonly<Partial<Record<ConsensusInput["kind"], keyof ModelBudget>>> = {
    "election-timeout": "electionTimeouts",
    "heartbeat-timeout": "heartbeats",
    "quorum-check-timeout": "quorumChecks",
    "propose": "proposals",
    "change-membership": "membershipChanges",
    "compact": "compactions",
};

const charge = (budget: ModelBudget, kind: keyof ModelBudget | undefined): ModelBudget =>
    kind ? { ...budget, [kind]: budget[kind] - 1 } : budget;

const chargeEvent = (budget: ModelBudget, { crashAfterActions, duplicate, input }: ModelEvent): ModelBudget => {
    const afterInput = charge(budget, budgetKindOf[input.kind]);
    const afterDuplicate = charge(afterInput, duplicate ? "duplicates" : undefined);
    return charge(afterDuplicate, crashAfterActions === undefined ? undefined : "crashes");
};

const persist = (durable: DurableState, action: ConsensusAction, state: ConsensusState): DurableState => {
    switch (action.kind) {
        case "persist-vote":
            return { ...durable, term: action.term, votedFor: action.votedFor };
        case "persist-entries": {
            const kept = logOperations.truncateFrom(durable.log, action.fromIndex);
            return { ...durable, log: logOperations.append(kept, action.entries) };
        }
        case "install-snapshot":
        case "compact":
            return { ...durable, log: state.log };
        default:
            return durable;
    }
};

/** The progress of a replica that handles an input. */
type Execution = {
    readonly state: ConsensusState;
    readonly durable: DurableState;
    readonly sent: readonly ModelState["network"][number][];
    readonly actionsLeft: number;
    readonly crashed: boolean;
};

/**
 * Passes an input to the step function and executes the resulting actions in order, as `ConsensusTask` does. Then
 * handles an input `persisted` for each append that was synced.
 */
const handleInput = (execution: Execution, input: ConsensusInput, step: ProtocolStep): Execution => {
    const { actions, state } = step(execution.state, input);
    let next: Execution = { ...execution, state };
    const syncedIndexes: number[] = [];
    for (const action of actions) {
        if (next.actionsLeft === 0) {
            return { ...next, crashed: true };
        }
        next = { ...next, actionsLeft: next.actionsLeft - 1, durable: persist(next.durable, action, state) };
        if (action.kind === "send") {
            next = { ...next, sent: [...next.sent, { from: state.id, to: action.to, message: action.message }] };
        }
        if (action.kind === "persist-entries") {
            syncedIndexes.push(action.entries.at(-1)?.index ?? 0);
        }
    }
    return syncedIndexes.reduce((current, index) => handleInput(current, { kind: "persisted", index }, step), next);
};

const recordLeader = (model: ModelState, { id, role, term, log }: ConsensusState): ModelState => {
    if (role !== Role.Leader || model.leaders.get(term) === id) {
        return model;
    }
    if (model.leaders.has(term)) {
        return { ...model, violation: `two leaders in term ${term}: ${model.leaders.get(term)} and ${id}` };
    }
    for (const [index, entry] of model.committed) {
        const missing = index > log.snapshotIndex && logOperations.termAt(log, index) !== entry.term;
        if (missing && entry.term < term) {
            return { ...model, violation: `leader ${id} of term ${term} lacks the committed entry ${index}` };
        }
    }
    return { ...model, leaders: new Map(model.leaders).set(term, id) };
};

const hasSynced = ({ durable }: ModelReplica, index: number, term: number): boolean =>
    index <= durable.log.snapshotIndex || logOperations.termAt(durable.log, index) === term;

/** Checks each newly committed entry: all replicas agree on it, and a quorum of voters has synced it. */
const recordCommits = (model: ModelState, state: ConsensusState, previousCommitIndex: number): ModelState => {
    const committed = new Map(model.committed);
    for (let index = previousCommitIndex + 1; index <= state.commitIndex; index += 1) {
        const entry = logOperations.entryAt(state.log, index);
        if (!entry) {
            continue;
        }
        const recorded = committed.get(index);
        if (recorded && recorded.term !== entry.term) {
            return {
                ...model,
                violation: `two entries are committed at ${index}: terms ${recorded.term} and ${entry.term}`,
            };
        }
        const syncedIds = [...model.replicas, ...model.lost]
            .filter(([, replica]) => hasSynced(replica, index, entry.term))
            .map(([id]) => id);
        const membership = logOperations.membershipOf(state.log);
        if (!recorded && !majorityOfVoters(membership, new Set(syncedIds))) {
            return {
                ...model,
                violation: `entry ${index} is committed but synced by no quorum: ${syncedIds.join(", ")}`,
            };
        }
        committed.set(index, entry);
    }
    return { ...model, committed };
};

const removeAt = <Item>(items: readonly Item[], index: number | undefined): readonly Item[] =>
    index === undefined ? items : items.filter((_, position) => position !== index);

const isResponse = (kind: string): boolean => kind.endsWith("-response");

/**
 * Drops responses that have no effect: those of a term before the receiver's, and pre-vote responses of its current
 * term, since a granted pre-vote carries the term of the proposed election, the receiver's term plus 1.
 */
const dropStaleResponses = (model: ModelState): ModelState => {
    const network = model.network.filter(({ message, to }) => {
        const term = model.replicas.get(to)?.durable.term ?? 0;
        const preVote = message.kind === "pre-vote-response";
        return !isResponse(message.kind) || message.term >= (preVote ? term + 1 : term);
    });
    return { ...model, network };
};

/** Applies one event to the model and checks the invariants. */
export const advanceModel = (model: ModelState, event: ModelEvent, step: ProtocolStep): ModelState => {
    const replica = model.replicas.get(event.nodeId);
    if (!replica) {
        return model;
    }
    const initial: Execution = {
        state: replica.state,
        durable: replica.durable,
        sent: [],
        actionsLeft: event.crashAfterActions ?? Number.POSITIVE_INFINITY,
        crashed: false,
    };
    const execution = handleInput(initial, event.input, step);
    const crashed = execution.crashed || event.crashAfterActions !== undefined;
    const state = crashed ? createInitialState({ id: event.nodeId, ...execution.durable }) : execution.state;
    const remaining = event.duplicate ? model.network : removeAt(model.network, event.messageIndex);
    const next: ModelState = {
        ...model,
        replicas: new Map(model.replicas).set(event.nodeId, { state, durable: execution.durable }),
        network: [...remaining, ...execution.sent],
        budget: chargeEvent(model.budget, event),
    };
    // The state at the crash is checked, not the restarted one: the replica may have acknowledged its commits already.
    const checked = recordCommits(recordLeader(next, execution.state), execution.state, replica.state.commitIndex);
    return dropStaleResponses(checked);
};
