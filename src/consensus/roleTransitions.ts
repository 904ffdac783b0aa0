import { ConsensusMessage } from "./ConsensusMessage";
import { logOperations } from "./logOperations";
import { PeerProgress } from "./PeerProgress";
import { replication } from "./replication";
import { Role } from "./Role";
import { StepContext } from "./StepContext";

const refusePendingReads = (context: StepContext): void => {
    for (const { requestId } of context.state.pendingReads) {
        context.addAction({ kind: "refused", requestId, leaderId: undefined, reason: "this replica stopped leading" });
    }
};

/** Becomes a follower in `term`. The vote is cleared only if the term is new: a replica votes once in a term. */
const becomeFollower = (context: StepContext, term: number, leaderId: string | undefined): void => {
    refusePendingReads(context);
    const newTerm = term > context.state.term;
    context.update({
        role: Role.Follower,
        term,
        leaderId,
        votedFor: newTerm ? undefined : context.state.votedFor,
        votes: [],
        peers: new Map(),
        contacts: [],
        pendingReads: [],
    });
    if (newTerm) {
        context.addAction({ kind: "persist-vote", term, votedFor: undefined });
    }
    context.addAction({ kind: "reset-election-timer" });
};

const requestVotes = (context: StepContext, kind: "pre-vote-request" | "vote-request", term: number): void => {
    const { log } = context.state;
    const message: ConsensusMessage = {
        kind,
        term,
        lastIndex: logOperations.lastIndex(log),
        lastTerm: logOperations.lastTerm(log),
    };
    for (const { id } of context.membership.voters) {
        if (id !== context.state.id) {
            context.addAction({ kind: "send", to: id, message });
        }
    }
};

const becomeLeader = (context: StepContext): void => {
    const { id, log, term, votes } = context.state;
    const lastIndex = logOperations.lastIndex(log);
    const initialProgress: PeerProgress = {
        nextIndex: lastIndex + 1,
        matchIndex: 0,
        answeredRound: 0,
        snapshotPending: false,
        missedChecks: 0,
    };
    context.update({
        role: Role.Leader,
        leaderId: id,
        durableIndex: lastIndex,
        peers: new Map(context.peerIds.map((peerId) => [peerId, initialProgress])),
        // A quorum check may follow before any peer can respond to the new leader.
        contacts: votes,
        round: 0,
    });
    // Entries of earlier terms can commit only along with an entry of the new term.
    replication.appendAsLeader(context, { index: lastIndex + 1, term, payload: { kind: "empty" } });
};

const becomeCandidate = (context: StepContext): void => {
    const term = context.state.term + 1;
    const { id } = context.state;
    context.update({ role: Role.Candidate, term, votedFor: id, votes: [id], leaderId: undefined });
    context.addAction({ kind: "persist-vote", term, votedFor: id });
    context.addAction({ kind: "reset-election-timer" });
    if (context.hasQuorum(context.membership, new Set([id]))) {
        becomeLeader(context);
        return;
    }
    requestVotes(context, "vote-request", term);
};

const becomePreCandidate = (context: StepContext): void => {
    const { id, term } = context.state;
    context.update({ role: Role.PreCandidate, votes: [id], leaderId: undefined });
    context.addAction({ kind: "reset-election-timer" });
    if (context.hasQuorum(context.membership, new Set([id]))) {
        becomeCandidate(context);
        return;
    }
    requestVotes(context, "pre-vote-request", term + 1);
};

/** Transitions between the roles of a replica. */
export const roleTransitions = { becomeFollower, becomePreCandidate, becomeCandidate, becomeLeader } as const;
