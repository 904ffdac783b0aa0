import { ConsensusMessage } from "./ConsensusMessage";
import { hasCommittedInTerm } from "./hasCommittedInTerm";
import { logOperations } from "./logOperations";
import { Membership } from "./Membership";
import { MembershipChange } from "./MembershipChange";
import { replication } from "./replication";
import { responsiveness } from "./responsiveness";
import { Role } from "./Role";
import { roleTransitions } from "./roleTransitions";
import { StepContext } from "./StepContext";

type AppendResponse = ConsensusMessage & { readonly kind: "append-response"; };

const refuse = (context: StepContext, requestId: string, reason: string): void => {
    context.addAction({ kind: "refused", requestId, leaderId: context.state.leaderId, reason });
};

const completeConfirmedReads = (context: StepContext): void => {
    const { id, peers, pendingReads } = context.state;
    const isConfirmed = (round: number): boolean => {
        const responded = [...peers].filter(([, { answeredRound }]) => answeredRound >= round).map(([peerId]) =>
            peerId
        );
        return context.hasQuorum(context.membership, new Set([id, ...responded]));
    };
    const unconfirmed = pendingReads.filter(({ round }) => !isConfirmed(round));
    const confirmed = pendingReads.filter(({ round }) => isConfirmed(round));
    context.update({ pendingReads: unconfirmed });
    confirmed.forEach(({ index, requestId }) => context.addAction({ kind: "read-ready", requestId, index }));
};

/** Steps down once the entry that removes this replica is committed. */
const stepDownIfRemoved = (context: StepContext): void => {
    const { commitIndex, log, role, term } = context.state;
    if (role !== Role.Leader || context.isVoter) {
        return;
    }
    if (logOperations.lastMembershipIndex(log) <= commitIndex) {
        roleTransitions.becomeFollower(context, term, undefined);
    }
};

const onAppendResponse = (context: StepContext, from: string, response: AppendResponse): void => {
    const { peers, role, term } = context.state;
    const progress = peers.get(from);
    if (role !== Role.Leader || response.term !== term || !progress) {
        return;
    }
    const answeredRound = Math.max(progress.answeredRound, response.round);
    context.update({ contacts: [...new Set([...context.state.contacts, from])] });
    if (!response.success) {
        const suggestedNextIndex = Math.min(response.matchIndex + 1, progress.nextIndex);
        const nextIndex = Math.max(progress.matchIndex + 1, suggestedNextIndex);
        replication.setProgress(context, from, { answeredRound, nextIndex });
        completeConfirmedReads(context);
        if (!progress.snapshotPending) {
            replication.sendEntries(context, from);
        }
        return;
    }
    const matchIndex = Math.max(progress.matchIndex, response.matchIndex);
    const snapshotPending = progress.snapshotPending && matchIndex < context.state.log.snapshotIndex;
    const nextIndex = Math.max(progress.nextIndex, matchIndex + 1);
    replication.setProgress(context, from, { answeredRound, matchIndex, nextIndex, snapshotPending });
    replication.advanceCommit(context);
    completeConfirmedReads(context);
    if (nextIndex <= logOperations.lastIndex(context.state.log)) {
        replication.sendEntries(context, from);
    }
    stepDownIfRemoved(context);
};

const onStateRequest = (context: StepContext, from: string, requestTerm: number): void => {
    const { peers, role, term } = context.state;
    if (role === Role.Leader && requestTerm === term && peers.has(from)) {
        replication.replaceState(context, from);
    }
};

const onPropose = (context: StepContext, requestId: string, command: unknown): void => {
    const { log, role, term } = context.state;
    if (role !== Role.Leader) {
        refuse(context, requestId, "not the leader");
        return;
    }
    const index = logOperations.lastIndex(log) + 1;
    context.addAction({ kind: "appended", requestId, index, term });
    replication.appendAsLeader(context, { index, term, payload: { kind: "command", command } });
};

const applyMembershipChange = (membership: Membership, change: MembershipChange): Membership => {
    const { learners, voters } = membership;
    const without = (replicas: Membership["voters"]) => replicas.filter(({ id }) => id !== change.id);
    if (change.kind === "add-learner") {
        return { voters, learners: [...without(learners), { id: change.id, address: change.address }] };
    }
    if (change.kind === "promote") {
        const promoted = learners.filter(({ id }) => id === change.id);
        return { voters: [...voters, ...promoted], learners: without(learners) };
    }
    return { voters: without(voters), learners: without(learners) };
};

const membershipChangeRefusal = (context: StepContext, change: MembershipChange): string | undefined => {
    const { commitIndex, log, peers } = context.state;
    const { learners, voters } = context.membership;
    if (logOperations.lastMembershipIndex(log) > commitIndex || !hasCommittedInTerm(context.state)) {
        return "another change is still being committed; retry shortly";
    }
    const isVoter = voters.some(({ id }) => id === change.id);
    const isLearner = learners.some(({ id }) => id === change.id);
    if (change.kind === "add-learner") {
        return isVoter ? `${change.id} is a voter already` : undefined;
    }
    if (change.kind === "promote") {
        const caughtUp = (peers.get(change.id)?.matchIndex ?? 0) >= commitIndex;
        return isLearner && caughtUp ? undefined : `${change.id} is not a learner that has caught up; retry shortly`;
    }
    if (isVoter && voters.length === 1) {
        return "the last voter can't be removed";
    }
    return isVoter || isLearner ? undefined : `${change.id} is not a member`;
};

const onChangeMembership = (context: StepContext, requestId: string, change: MembershipChange): void => {
    const { log, role, term } = context.state;
    if (role !== Role.Leader) {
        refuse(context, requestId, "not the leader");
        return;
    }
    const reason = membershipChangeRefusal(context, change);
    if (reason) {
        refuse(context, requestId, reason);
        return;
    }
    const index = logOperations.lastIndex(log) + 1;
    const membership = applyMembershipChange(context.membership, change);
    context.addAction({ kind: "appended", requestId, index, term });
    replication.appendAsLeader(context, { index, term, payload: { kind: "membership", membership } });
};

const onRead = (context: StepContext, requestId: string): void => {
    if (context.state.role !== Role.Leader || !hasCommittedInTerm(context.state)) {
        refuse(context, requestId, "not the leader");
        return;
    }
    const round = context.state.round + 1;
    const read = { requestId, round, index: context.state.commitIndex };
    context.update({ round, pendingReads: [...context.state.pendingReads, read] });
    replication.sendToAll(context);
    completeConfirmedReads(context);
};

const onHeartbeat = (context: StepContext): void => {
    if (context.state.role !== Role.Leader) {
        return;
    }
    context.update({ round: context.state.round + 1 });
    replication.sendToAll(context);
};

/** Steps down if no quorum responded since the last check, that is, if the lease has expired. */
const onQuorumCheck = (context: StepContext): void => {
    const { contacts, id, peers, role, term } = context.state;
    if (role !== Role.Leader) {
        return;
    }
    if (!context.hasQuorum(context.membership, new Set([id, ...contacts]))) {
        context.addAction({ kind: "quorum-lost", responded: contacts });
        roleTransitions.becomeFollower(context, term, undefined);
        return;
    }
    const updatedPeers = [...responsiveness.afterQuorumCheck(peers, contacts)].map(([peerId, progress]) =>
        [peerId, { ...progress, snapshotPending: false }] as const
    );
    context.update({ contacts: [], peers: new Map(updatedPeers) });
};

const onPersisted = (context: StepContext, index: number): void => {
    const { durableIndex, log, role } = context.state;
    const syncedIndex = Math.min(index, logOperations.lastIndex(log));
    context.update({ durableIndex: Math.max(durableIndex, syncedIndex) });
    if (role !== Role.Leader) {
        return;
    }
    replication.advanceCommit(context);
    completeConfirmedReads(context);
    stepDownIfRemoved(context);
};

/** Handlers of responses, timers and the requests of this process. Requests are refused unless this replica leads. */
export const leaderHandlers = {
    onAppendResponse,
    onStateRequest,
    onPropose,
    onChangeMembership,
    onRead,
    onHeartbeat,
    onQuorumCheck,
    onPersisted,
} as const;
