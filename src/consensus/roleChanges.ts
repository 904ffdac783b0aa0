import { ConsensusMessage } from "./ConsensusMessage";
import { logQueries } from "./logQueries";
import { PeerProgress } from "./PeerProgress";
import { replication } from "./replication";
import { Role } from "./Role";
import { StepContext } from "./StepContext";

const refusePendingReads = (context: StepContext): void => {
    for (const { requestId } of context.state.pendingReads) {
        context.act({ kind: "refused", requestId, leaderId: undefined, reason: "this replica stopped leading" });
    }
};

/** Follows in `term`. The vote of a term is kept: only a new term clears it. */
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
        context.act({ kind: "persist-vote", term, votedFor: undefined });
    }
    context.act({ kind: "reset-election-timer" });
};

const askForVotes = (context: StepContext, kind: "pre-vote-request" | "vote-request", term: number): void => {
    const { log } = context.state;
    const message: ConsensusMessage = {
        kind,
        term,
        lastIndex: logQueries.lastIndex(log),
        lastTerm: logQueries.lastTerm(log),
    };
    for (const { id } of context.membership.voters) {
        if (id !== context.state.id) {
            context.act({ kind: "send", to: id, message });
        }
    }
};

const becomeLeader = (context: StepContext): void => {
    const { id, log, term } = context.state;
    const lastIndex = logQueries.lastIndex(log);
    const progress: PeerProgress = {
        nextIndex: lastIndex + 1,
        matchIndex: 0,
        answeredRound: 0,
        snapshotPending: false,
    };
    context.update({
        role: Role.Leader,
        leaderId: id,
        durableIndex: lastIndex,
        peers: new Map(context.peerIds.map((peerId) => [peerId, progress])),
        contacts: [],
        round: 0,
    });
    // An entry of the new term lets entries of earlier terms commit.
    replication.appendAsLeader(context, { index: lastIndex + 1, term, payload: { kind: "empty" } });
};

const becomeCandidate = (context: StepContext): void => {
    const term = context.state.term + 1;
    const { id } = context.state;
    context.update({ role: Role.Candidate, term, votedFor: id, votes: [id], leaderId: undefined });
    context.act({ kind: "persist-vote", term, votedFor: id });
    context.act({ kind: "reset-election-timer" });
    if (context.hasQuorum(context.membership, new Set([id]))) {
        becomeLeader(context);
        return;
    }
    askForVotes(context, "vote-request", term);
};

const becomePreCandidate = (context: StepContext): void => {
    const { id, term } = context.state;
    context.update({ role: Role.PreCandidate, votes: [id], leaderId: undefined });
    context.act({ kind: "reset-election-timer" });
    if (context.hasQuorum(context.membership, new Set([id]))) {
        becomeCandidate(context);
        return;
    }
    askForVotes(context, "pre-vote-request", term + 1);
};

/** Moves between the roles of a replica. */
export const roleChanges = { becomeFollower, becomePreCandidate, becomeCandidate, becomeLeader } as const;
