import { ConsensusMessage } from "./ConsensusMessage";
import { logQueries } from "./logQueries";
import { Role } from "./Role";
import { roleChanges } from "./roleChanges";
import { StepContext } from "./StepContext";

type VoteRequest = ConsensusMessage & { readonly kind: "pre-vote-request" | "vote-request"; };
type VoteResponse = ConsensusMessage & { readonly kind: "pre-vote-response" | "vote-response"; };

const isUpToDate = (context: StepContext, request: VoteRequest): boolean => {
    const { log } = context.state;
    const lastTerm = logQueries.lastTerm(log);
    if (request.lastTerm !== lastTerm) {
        return request.lastTerm > lastTerm;
    }
    return request.lastIndex >= logQueries.lastIndex(log);
};

const onPreVoteRequest = (context: StepContext, from: string, request: VoteRequest): void => {
    const { leaderId, term } = context.state;
    const granted = request.term > term && !leaderId && isUpToDate(context, request);
    const answerTerm = granted ? request.term : term;
    context.act({ kind: "send", to: from, message: { kind: "pre-vote-response", term: answerTerm, granted } });
};

const onVoteRequest = (context: StepContext, from: string, request: VoteRequest): void => {
    const { leaderId, term } = context.state;
    // A replica that hears its leader gives no vote, so that a returning replica can't unseat it.
    if (leaderId && leaderId !== from) {
        return;
    }
    if (request.term > term) {
        roleChanges.becomeFollower(context, request.term, undefined);
    }
    const { votedFor } = context.state;
    const free = !votedFor || votedFor === from;
    const granted = request.term === context.state.term && free && isUpToDate(context, request);
    if (granted) {
        context.update({ votedFor: from });
        context.act({ kind: "persist-vote", term: context.state.term, votedFor: from });
        context.act({ kind: "reset-election-timer" });
    }
    const message: ConsensusMessage = { kind: "vote-response", term: context.state.term, granted };
    context.act({ kind: "send", to: from, message });
};

const onVoteResponse = (context: StepContext, from: string, response: VoteResponse): void => {
    const preVote = response.kind === "pre-vote-response";
    const { role, term } = context.state;
    const asked = preVote ? term + 1 : term;
    const waiting = role === (preVote ? Role.PreCandidate : Role.Candidate);
    if (!waiting || !response.granted || response.term !== asked) {
        return;
    }
    const votes = new Set([...context.state.votes, from]);
    context.update({ votes: [...votes] });
    if (!context.hasQuorum(context.membership, votes)) {
        return;
    }
    if (preVote) {
        roleChanges.becomeCandidate(context);
        return;
    }
    roleChanges.becomeLeader(context);
};

/** Giving and collecting votes and pre-votes. */
export const voting = { onPreVoteRequest, onVoteRequest, onVoteResponse } as const;
