import { ConsensusMessage } from "./ConsensusMessage";
import { hasCommittedInTerm } from "./hasCommittedInTerm";
import { LogEntry } from "./LogEntry";
import { logOperations } from "./logOperations";
import { Role } from "./Role";
import { roleTransitions } from "./roleTransitions";
import { StepContext } from "./StepContext";

type AppendRequest = ConsensusMessage & { readonly kind: "append-request"; };
type SnapshotRequest = ConsensusMessage & { readonly kind: "snapshot-request"; };

const respond = (context: StepContext, to: string, success: boolean, matchIndex: number, round: number): void => {
    const { term } = context.state;
    context.addAction({ kind: "send", to, message: { kind: "append-response", term, success, matchIndex, round } });
};

const followLeader = (context: StepContext, from: string): void => {
    if (context.state.role !== Role.Follower) {
        roleTransitions.becomeFollower(context, context.state.term, from);
        return;
    }
    context.update({ leaderId: from });
    context.addAction({ kind: "reset-election-timer" });
};

const commitUpTo = (context: StepContext, index: number): void => {
    if (index > context.state.commitIndex) {
        context.update({ commitIndex: index });
        context.addAction({ kind: "committed", index });
    }
};

/** Appends the entries from the first one that differs from the log. Entries that already match are kept. */
const storeEntries = (context: StepContext, entries: readonly LogEntry[]): void => {
    const { log } = context.state;
    const uncompacted = entries.filter(({ index }) => index > log.snapshotIndex);
    const firstDifference = uncompacted.findIndex(({ index, term }) => logOperations.termAt(log, index) !== term);
    if (firstDifference < 0) {
        return;
    }
    const added = uncompacted.slice(firstDifference);
    const fromIndex = added[0].index;
    context.update({ log: logOperations.append(logOperations.truncateFrom(log, fromIndex), added) });
    context.addAction({ kind: "persist-entries", fromIndex, entries: added });
};

const onAppendRequest = (context: StepContext, from: string, request: AppendRequest): void => {
    const { entries, previousIndex, previousTerm, round } = request;
    if (request.term < context.state.term) {
        respond(context, from, false, 0, round);
        return;
    }
    followLeader(context, from);
    const { commitIndex, log } = context.state;
    // Committed entries match the leader's log, so a previous index up to the commit index needs no check.
    const matches = previousIndex <= commitIndex || logOperations.termAt(log, previousIndex) === previousTerm;
    if (!matches) {
        respond(context, from, false, Math.min(previousIndex - 1, logOperations.lastIndex(log)), round);
        return;
    }
    storeEntries(context, entries);
    const matchIndex = previousIndex + entries.length;
    commitUpTo(context, Math.min(request.commitIndex, matchIndex));
    if (request.commitIndex <= matchIndex && hasCommittedInTerm(context.state)) {
        context.update({ isConfirmed: true });
    }
    respond(context, from, true, matchIndex, round);
};

/** Replaces the log up to the snapshot's index. Entries after it are kept if the log agrees with it at that index. */
const installSnapshot = (context: StepContext, request: SnapshotRequest): void => {
    const { index, membership, snapshotTerm } = request;
    const { log } = context.state;
    const agrees = logOperations.termAt(log, index) === snapshotTerm;
    const entries = agrees ? logOperations.entriesFrom(log, index + 1, log.entries.length) : [];
    context.update({
        log: { snapshotIndex: index, snapshotTerm, snapshotMembership: membership, entries },
        commitIndex: index,
        durableIndex: index + entries.length,
    });
    context.addAction({ kind: "install-snapshot", message: request, entries });
};

const onSnapshotRequest = (context: StepContext, from: string, request: SnapshotRequest): void => {
    const { index, round, snapshotTerm } = request;
    if (request.term < context.state.term) {
        respond(context, from, false, 0, round);
        return;
    }
    followLeader(context, from);
    if (request.replacesState && index >= context.state.commitIndex) {
        installSnapshot(context, request);
        respond(context, from, true, index, round);
        return;
    }
    // A log that agrees with the snapshot at its index holds all of it, and may hold entries after it that this replica
    // has acknowledged.
    if (logOperations.termAt(context.state.log, index) === snapshotTerm) {
        commitUpTo(context, index);
    }
    if (index <= context.state.commitIndex) {
        respond(context, from, true, index, round);
        return;
    }
    installSnapshot(context, request);
    respond(context, from, true, index, round);
};

const onStateDiffers = (context: StepContext): void => {
    const { leaderId, role, term } = context.state;
    if (role === Role.Follower && leaderId !== undefined) {
        context.addAction({ kind: "send", to: leaderId, message: { kind: "state-request", term } });
    }
};

/** Handlers of the leader's requests. */
export const followerHandlers = { onAppendRequest, onSnapshotRequest, onStateDiffers } as const;
