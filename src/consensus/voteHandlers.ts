import { ConsensusMessage } from "./ConsensusMessage";
import { logOperations } from "./logOperations";
import { Role } from "./Role";
import { roleTransitions } from "./roleTransitions";
import { StepContext } from "./StepContext";

type VoteRequest = ConsensusMessage & { readonly kind: "pre-vote-request" | "vote-request"; };
type VoteResponse = ConsensusMessage & { readonly kind: "pre-vote-response" | "vote-response"; };

const isUpToDate = (context: StepContext, request: VoteRequest): boolean => {
    const { log } = context.state;
    const lastTerm = logOperations.lastTerm(log);
    if (request.lastTerm !== lastTerm) {
        return request.lastTerm > lastTerm;
    }
    return request.lastIndex >= logOperations.lastIndex(log);
};

const onPreVoteRequest = (context: StepContext, from: string, request: VoteRequest): void => {
    const { leaderId, term } = context.state;
    const granted = request.term > term && !leaderId && isUpToDate(context, request);
    const responseTerm = granted ? request.term : term;
    context.addAction({ kind: "send", to: from, message: { kind: "pre-vote-response", term: responseTerm, granted } });
};

const onVoteRequest = (context: StepContext, from: string, request: VoteRequest): void => {
    const { leaderId, term } = context.state;
    // Votes are refused while a leader is known, so that a replica that rejoins can't depose a working leader.
    if (leaderId && leaderId !== from) {
        return;
    }
    if (request.term > term) {
        roleTransitions.becomeFollower(context, request.term, undefined);
    }
    const { votedFor } = context.state;
    const mayVote = !votedFor || votedFor === from;
    const granted = request.term === context.state.term && mayVote && isUpToDate(context, request);
    if (granted) {
        context.update({ votedFor: from });
        context.addAction({ kind: "persist-vote", term: context.state.term, votedFor: from });
        context.addAction({ kind: "reset-election-timer" });
    }
    const message: ConsensusMessage = { kind: "vote-response", term: context.state.term, granted };
    context.addAction({ kind: "send", to: from, message });
};

const onVoteResponse = (context: StepContext, from: string, response: VoteResponse): void => {
    const preVote = response.kind === "pre-vote-response";
    const { role, term } = context.state;
    const expectedTerm = preVote ? term + 1 : term;
    const isCollecting = role === (preVote ? Role.PreCandidate : Role.Candidate);
    if (!isCollecting || !response.granted || response.term !== expectedTerm) {
        return;
    }
    const votes = new Set([...context.state.votes, from]);
    context.update({ votes: [...votes] });
    if (!context.hasQuorum(context.membership, votes)) {
        return;
    }
    if (preVote) {
        roleTransitions.becomeCandidate(context);
        return;
    }
    roleTransitions.becomeLeader(context);
};

/** Handlers that grant and count votes and pre-votes. */
export const voteHandlers = { onPreVoteRequest, onVoteRequest, onVoteResponse } as const;
