import * as fc from "fast-check";
import { logOperations } from "../../consensus/logOperations";
import { Membership } from "../../consensus/Membership";
import { MembershipChange } from "../../consensus/MembershipChange";
import { Role } from "../../consensus/Role";
import { step } from "../../consensus/step";
import { nextGroupChange } from "../../deployment/nextGroupChange";
import { nextRemoval } from "../../deployment/nextRemoval";
import { advanceModel } from "../advanceModel";
import { createModel } from "../createModel";
import { createModelReplica } from "../createModelReplica";
import { emptyBudget } from "../emptyBudget";
import { enumerateEvents } from "../enumerateEvents";
import { ModelState } from "../ModelState";
import { ProtocolStep } from "../ProtocolStep";

const RUNS = 1_000;
const EVENTS_PER_RUN = 900;
const SEED = 20_261_204;
const MAXIMUM_MESSAGES = 30;

/**
 * One choice in this many is a join request, the loss of a disk or the removal of a replica. The others are events of
 * the model.
 */
const CHOICES_PER_JOIN = 6;
const CHOICES_PER_DISK_LOSS = 41;
const CHOICES_PER_REMOVAL = 23;

const founders = ["a", "b", "c"];

const budget = {
    ...emptyBudget,
    electionTimeouts: 60,
    heartbeats: 120,
    quorumChecks: 10,
    proposals: 25,
    duplicates: 10,
    membershipChanges: 0,
    compactions: 8,
};

const protocolStep: ProtocolStep = (state, input) => step(state, input);

const emptyMembership: Membership = { voters: [], learners: [] };
const initialMembership: Membership = { voters: founders.map((id) => ({ id, address: id })), learners: [] };

const addressOf = (id: string): string => id.split("#")[0];

/** Returns a new group of three founders, with a fourth replica that is not yet a member. */
const createInitialGroup = (): ModelState => {
    const model = createModel(founders, [], budget);
    return { ...model, replicas: new Map(model.replicas).set("d", createModelReplica("d", emptyMembership)) };
};

const leaderOf = ({ replicas }: ModelState): string | undefined => {
    const leaders = [...replicas].filter(([, { state }]) => state.role === Role.Leader);
    return leaders.sort(([, left], [, right]) => right.state.term - left.state.term)[0]?.[0];
};

const membershipAt = ({ replicas }: ModelState, id: string): Membership => {
    const replica = replicas.get(id);
    return replica ? logOperations.membershipOf(replica.state.log) : emptyMembership;
};

const proposeChange = (model: ModelState, leader: string, change: MembershipChange | undefined): ModelState =>
    change
        ? advanceModel(
            model,
            { nodeId: leader, input: { kind: "change-membership", requestId: "m", change } },
            protocolStep,
        )
        : model;

/** A replica that is not a voter asks to join, and the leader proposes the next membership change towards that. */
const requestJoin = (model: ModelState, choice: number): ModelState => {
    const leader = leaderOf(model);
    if (!leader) {
        return model;
    }
    const membership = membershipAt(model, leader);
    const nonVoters = [...model.replicas.keys()].filter((id) => !membership.voters.some((voter) => voter.id === id));
    if (nonVoters.length === 0) {
        return model;
    }
    const id = nonVoters[choice % nonVoters.length];
    return proposeChange(model, leader, nextGroupChange(membership, { id, address: addressOf(id) }));
};

/**
 * The leader proposes to remove a replica as unresponsive. Any replica may be: it is removed while it still runs and
 * sends messages, and joins again later.
 */
const removeUnresponsive = (model: ModelState, choice: number): ModelState => {
    const leader = leaderOf(model);
    if (!leader) {
        return model;
    }
    const others = [...model.replicas.keys()].filter((id) => id !== leader);
    return proposeChange(model, leader, nextRemoval(membershipAt(model, leader), [others[choice % others.length]]));
};

/**
 * Returns whether all voters of a committed membership run, and there are enough to lose one. Only then may a disk be
 * lost: until its replica has been replaced, the group tolerates no second loss.
 */
const mayLoseDisk = (model: ModelState): boolean => {
    const leader = leaderOf(model);
    const state = leader === undefined ? undefined : model.replicas.get(leader)?.state;
    if (leader === undefined || !state || logOperations.lastMembershipIndex(state.log) > state.commitIndex) {
        return false;
    }
    const voters = membershipAt(model, leader).voters.map(({ id }) => id);
    return voters.length >= founders.length && voters.every((id) => model.replicas.has(id));
};

/** A replica loses its disk and restarts with an empty one, under the id that `idAfterLoss` returns. */
const loseDisk = (model: ModelState, choice: number, idAfterLoss: (id: string) => string): ModelState => {
    if (!mayLoseDisk(model)) {
        return model;
    }
    const ids = [...model.replicas.keys()];
    const lostId = ids[choice % ids.length];
    const replicas = new Map(model.replicas);
    const lostReplica = replicas.get(lostId);
    replicas.delete(lostId);
    const id = idAfterLoss(lostId);
    replicas.set(
        id,
        createModelReplica(id, id === lostId && founders.includes(lostId) ? initialMembership : emptyMembership),
    );
    return lostReplica ? { ...model, replicas, lost: new Map(model.lost).set(lostId, lostReplica) } : model;
};

const advance = (model: ModelState, choice: number, idAfterLoss: (id: string) => string): ModelState => {
    if (choice % CHOICES_PER_DISK_LOSS === 0) {
        return loseDisk(model, choice, idAfterLoss);
    }
    if (choice % CHOICES_PER_REMOVAL === 0) {
        return removeUnresponsive(model, choice);
    }
    if (choice % CHOICES_PER_JOIN === 0) {
        return requestJoin(model, choice);
    }
    const events = enumerateEvents(model);
    return events.length === 0 ? model : advanceModel(model, events[choice % events.length], protocolStep);
};

/** Runs the group by the choices. Returns the first violation, if any, and the numbers of disks lost and removals. */
const run = (choices: readonly number[], idAfterLoss: (id: string) => string) => {
    let model = createInitialGroup();
    let losses = 0;
    let removals = 0;
    for (const choice of choices) {
        const previous = model;
        model = advance(model, choice, idAfterLoss);
        losses += model.lost.size > previous.lost.size ? 1 : 0;
        removals += choice % CHOICES_PER_REMOVAL === 0 && model !== previous ? 1 : 0;
        if (model.violation) {
            return { violation: model.violation, losses, removals };
        }
        model = { ...model, network: model.network.slice(-MAXIMUM_MESSAGES) };
    }
    return { violation: undefined, losses, removals };
};

const choices = fc.array(fc.nat(), { minLength: EVENTS_PER_RUN, maxLength: EVENTS_PER_RUN });

/** Returns an id that was never used before, as `readReplicaIdentity` does. */
const newId = (id: string): string => `${addressOf(id)}#${Number(id.split("#")[1] ?? 0) + 1}`;

describe("long random runs of a group that forms from three founders", () => {
    test("keep committed entries while disks are lost one at a time and replicas join and are removed", () => {
        let losses = 0;
        let removals = 0;
        fc.assert(
            fc.property(choices, (runChoices) => {
                const result = run(runChoices, newId);
                expect(result.violation).toBeUndefined();
                losses += result.losses;
                removals += result.removals;
            }),
            { seed: SEED, numRuns: RUNS, endOnFailure: true },
        );
        // Unless disks were lost and replicas removed, the property would hold trivially.
        expect(losses).toBeGreaterThan(RUNS / 5);
        expect(removals).toBeGreaterThan(RUNS / 5);
    });

    test("violate an invariant if a replica keeps its id after the loss of its disk", () => {
        const sameId = (id: string): string => id;
        const found = fc.sample(choices, { seed: SEED, numRuns: RUNS }).some((runChoices) =>
            run(runChoices, sameId).violation !== undefined
        );
        expect(found).toBe(true);
    });
});
