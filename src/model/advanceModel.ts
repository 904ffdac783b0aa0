import { ConsensusAction } from "../consensus/ConsensusAction";
import { ConsensusInput } from "../consensus/ConsensusInput";
import { ConsensusState } from "../consensus/ConsensusState";
import { createInitialState } from "../consensus/createInitialState";
import { logOperations } from "../consensus/logOperations";
import { majorityOfVoters } from "../consensus/majorityOfVoters";
import { Role } from "../consensus/Role";
import { ModelBudget } from "./ModelBudget";
import { ModelEvent } from "./ModelEvent";
import { ModelNode } from "./ModelNode";
import { ModelRules } from "./ModelRules";
import { ModelState } from "./ModelState";

type Durable = ModelNode["durable"];

const costs: Readonly<Partial<Record<ConsensusInput["kind"], keyof ModelBudget>>> = {
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
    const forInput = charge(budget, costs[input.kind]);
    const forDuplicate = charge(forInput, duplicate ? "duplicates" : undefined);
    return charge(forDuplicate, crashAfterActions === undefined ? undefined : "crashes");
};

const persist = (durable: Durable, action: ConsensusAction, state: ConsensusState): Durable => {
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

/** Replays what a task does: acts in order, and reports each synced append back to the protocol. */
type Run = {
    readonly state: ConsensusState;
    readonly durable: Durable;
    readonly sent: readonly ModelState["network"][number][];
    readonly actionsLeft: number;
    readonly crashed: boolean;
};

const handle = (run: Run, input: ConsensusInput, rules: ModelRules): Run => {
    const { actions, state } = rules(run.state, input);
    let next: Run = { ...run, state };
    const persisted: number[] = [];
    for (const action of actions) {
        if (next.actionsLeft === 0) {
            return { ...next, crashed: true };
        }
        next = { ...next, actionsLeft: next.actionsLeft - 1, durable: persist(next.durable, action, state) };
        if (action.kind === "send") {
            next = { ...next, sent: [...next.sent, { from: state.id, to: action.to, message: action.message }] };
        }
        if (action.kind === "persist-entries") {
            persisted.push(action.entries.at(-1)?.index ?? 0);
        }
    }
    return persisted.reduce((present, index) => handle(present, { kind: "persisted", index }, rules), next);
};

const noteLeader = (model: ModelState, { id, role, term, log }: ConsensusState): ModelState => {
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

const holdsDurably = ({ durable }: ModelNode, index: number, term: number): boolean =>
    index <= durable.log.snapshotIndex || logOperations.termAt(durable.log, index) === term;

/** Checks what a replica newly took for committed: all agree on it, and a quorum of voters has synced it. */
const noteCommits = (model: ModelState, state: ConsensusState, before: number): ModelState => {
    const committed = new Map(model.committed);
    for (let index = before + 1; index <= state.commitIndex; index += 1) {
        const entry = logOperations.entryAt(state.log, index);
        if (!entry) {
            continue;
        }
        const known = committed.get(index);
        if (known && known.term !== entry.term) {
            return {
                ...model,
                violation: `two entries are committed at ${index}: terms ${known.term} and ${entry.term}`,
            };
        }
        const holders = [...model.nodes, ...model.lost]
            .filter(([, node]) => holdsDurably(node, index, entry.term))
            .map(([id]) => id);
        const membership = logOperations.membershipOf(state.log);
        if (!known && !majorityOfVoters(membership, new Set(holders))) {
            return {
                ...model,
                violation: `entry ${index} is committed but synced by no quorum: ${holders.join(", ")}`,
            };
        }
        committed.set(index, entry);
    }
    return { ...model, committed };
};

const removeAt = <Item>(items: readonly Item[], index: number | undefined): readonly Item[] =>
    index === undefined ? items : items.filter((_, position) => position !== index);

const isResponse = (kind: string): boolean => kind.endsWith("-response");

/** Responses of terms that their receiver has left behind have no effect and are dropped. */
const withoutStale = (model: ModelState): ModelState => {
    const network = model.network.filter(({ message, to }) => {
        const term = model.nodes.get(to)?.durable.term ?? 0;
        const preVote = message.kind === "pre-vote-response";
        return !isResponse(message.kind) || message.term >= (preVote ? term + 1 : term);
    });
    return { ...model, network };
};

/** Carries out one event and checks the invariants. */
export const advanceModel = (model: ModelState, event: ModelEvent, rules: ModelRules): ModelState => {
    const node = model.nodes.get(event.nodeId);
    if (!node) {
        return model;
    }
    const start: Run = {
        state: node.state,
        durable: node.durable,
        sent: [],
        actionsLeft: event.crashAfterActions ?? Number.POSITIVE_INFINITY,
        crashed: false,
    };
    const run = handle(start, event.input, rules);
    const crashed = run.crashed || event.crashAfterActions !== undefined;
    const state = crashed ? createInitialState({ id: event.nodeId, ...run.durable }) : run.state;
    const delivered = event.duplicate ? model.network : removeAt(model.network, event.messageIndex);
    const next: ModelState = {
        ...model,
        nodes: new Map(model.nodes).set(event.nodeId, { state, durable: run.durable }),
        network: [...delivered, ...run.sent],
        budget: chargeEvent(model.budget, event),
    };
    // A commit that was decided before the crash may have been answered already.
    const noted = noteCommits(noteLeader(next, run.state), run.state, node.state.commitIndex);
    return withoutStale(noted);
};
