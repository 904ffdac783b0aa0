import { ConsensusInput } from "./ConsensusInput";
import { ConsensusMessage } from "./ConsensusMessage";
import { ConsensusState } from "./ConsensusState";
import { following } from "./following";
import { leading } from "./leading";
import { logQueries } from "./logQueries";
import { majorityOfVoters } from "./majorityOfVoters";
import { QuorumRule } from "./QuorumRule";
import { Role } from "./Role";
import { roleChanges } from "./roleChanges";
import { StepContext } from "./StepContext";
import { StepResult } from "./StepResult";
import { voting } from "./voting";

/** Pre-votes, and votes while a leader is heard, must not raise the term. */
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
        roleChanges.becomeFollower(context, message.term, undefined);
    }
    switch (message.kind) {
        case "pre-vote-request":
            voting.onPreVoteRequest(context, from, message);
            return;
        case "vote-request":
            voting.onVoteRequest(context, from, message);
            return;
        case "pre-vote-response":
        case "vote-response":
            voting.onVoteResponse(context, from, message);
            return;
        case "append-request":
            following.onAppendRequest(context, from, message);
            return;
        case "append-response":
            leading.onAppendResponse(context, from, message);
            return;
        case "snapshot-request":
            following.onSnapshotRequest(context, from, message);
            return;
    }
};

const onElectionTimeout = (context: StepContext): void => {
    if (context.state.role === Role.Leader) {
        return;
    }
    if (!context.isVoter) {
        context.update({ leaderId: undefined });
        context.act({ kind: "reset-election-timer" });
        return;
    }
    roleChanges.becomePreCandidate(context);
};

const onCompact = (context: StepContext, index: number): void => {
    const { commitIndex, log } = context.state;
    if (index <= log.snapshotIndex || index > commitIndex) {
        return;
    }
    context.update({ log: logQueries.compactTo(log, index) });
    context.act({ kind: "compact", index });
};

const dispatch = (context: StepContext, input: ConsensusInput): void => {
    switch (input.kind) {
        case "election-timeout":
            onElectionTimeout(context);
            return;
        case "heartbeat-timeout":
            leading.onHeartbeat(context);
            return;
        case "quorum-check-timeout":
            leading.onQuorumCheck(context);
            return;
        case "receive":
            receive(context, input.from, input.message);
            return;
        case "propose":
            leading.onPropose(context, input.requestId, input.command);
            return;
        case "change-membership":
            leading.onChangeMembership(context, input.requestId, input.change);
            return;
        case "read":
            leading.onRead(context, input.requestId);
            return;
        case "persisted":
            leading.onPersisted(context, input.index);
            return;
        case "compact":
            onCompact(context, input.index);
            return;
    }
};

/**
 * The consensus protocol as one pure function.
 * @param hasQuorum the quorum rule; the model checker passes faulty ones to prove that it notices
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
