import { ConsensusInput } from "./ConsensusInput";
import { ConsensusMessage } from "./ConsensusMessage";
import { ConsensusState } from "./ConsensusState";
import { followerHandlers } from "./followerHandlers";
import { leaderHandlers } from "./leaderHandlers";
import { logOperations } from "./logOperations";
import { majorityOfVoters } from "./majorityOfVoters";
import { QuorumRule } from "./QuorumRule";
import { Role } from "./Role";
import { roleTransitions } from "./roleTransitions";
import { StepContext } from "./StepContext";
import { StepResult } from "./StepResult";
import { voteHandlers } from "./voteHandlers";

/**
 * Whether the message has a higher term that this replica must adopt. Pre-vote requests and granted pre-votes carry
 * only a proposed term. A vote request is left to its handler, which ignores it while a leader is known.
 */
const raisesTerm = (context: StepContext, message: ConsensusMessage): boolean => {
    if (message.term <= context.state.term) {
        return false;
    }
    if (message.kind === "pre-vote-request" || message.kind === "vote-request") {
        return false;
    }
    return !(message.kind === "pre-vote-response" && message.granted);
};

const receive = (context: StepContext, from: string, message: ConsensusMessage): void => {
    if (raisesTerm(context, message)) {
        roleTransitions.becomeFollower(context, message.term, undefined);
    }
    switch (message.kind) {
        case "pre-vote-request":
            voteHandlers.onPreVoteRequest(context, from, message);
            return;
        case "vote-request":
            voteHandlers.onVoteRequest(context, from, message);
            return;
        case "pre-vote-response":
        case "vote-response":
            voteHandlers.onVoteResponse(context, from, message);
            return;
        case "append-request":
            followerHandlers.onAppendRequest(context, from, message);
            return;
        case "append-response":
            leaderHandlers.onAppendResponse(context, from, message);
            return;
        case "snapshot-request":
            followerHandlers.onSnapshotRequest(context, from, message);
            return;
        case "state-request":
            leaderHandlers.onStateRequest(context, from, message.term);
            return;
    }
};

const onElectionTimeout = (context: StepContext): void => {
    if (context.state.role === Role.Leader) {
        return;
    }
    if (!context.isVoter) {
        context.update({ leaderId: undefined });
        context.addAction({ kind: "reset-election-timer" });
        return;
    }
    roleTransitions.becomePreCandidate(context);
};

const onCompact = (context: StepContext, index: number): void => {
    const { commitIndex, log } = context.state;
    if (index <= log.snapshotIndex || index > commitIndex) {
        return;
    }
    context.update({ log: logOperations.compactTo(log, index) });
    context.addAction({ kind: "compact", index });
};

const dispatch = (context: StepContext, input: ConsensusInput): void => {
    switch (input.kind) {
        case "election-timeout":
            onElectionTimeout(context);
            return;
        case "heartbeat-timeout":
            leaderHandlers.onHeartbeat(context);
            return;
        case "quorum-check-timeout":
            leaderHandlers.onQuorumCheck(context);
            return;
        case "receive":
            receive(context, input.from, input.message);
            return;
        case "state-differs":
            followerHandlers.onStateDiffers(context);
            return;
        case "propose":
            leaderHandlers.onPropose(context, input.requestId, input.command);
            return;
        case "change-membership":
            leaderHandlers.onChangeMembership(context, input.requestId, input.change);
            return;
        case "read":
            leaderHandlers.onRead(context, input.requestId);
            return;
        case "persisted":
            leaderHandlers.onPersisted(context, input.index);
            return;
        case "compact":
            onCompact(context, input.index);
            return;
    }
};

/**
 * The consensus protocol (Raft with pre-votes) as a pure function: processes one input and returns the next state and
 * the actions to execute.
 * @param hasQuorum the quorum rule; the model checker passes faulty rules to verify that it detects them
 */
export const step = (
    state: ConsensusState,
    input: ConsensusInput,
    hasQuorum: QuorumRule = majorityOfVoters,
): StepResult => {
    const context = new StepContext(state, hasQuorum);
    dispatch(context, input);
    return context.result();
};
