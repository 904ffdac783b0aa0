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

const onSnapshotRequest = (context: StepContext, from: string, request: SnapshotRequest): void => {
    const { index, membership, round, snapshotTerm } = request;
    if (request.term < context.state.term) {
        respond(context, from, false, 0, round);
        return;
    }
    followLeader(context, from);
    // A log that agrees with the snapshot at its index holds all of it, and may hold entries after it that this replica
    // has acknowledged.
    if (logOperations.termAt(context.state.log, index) === snapshotTerm) {
        commitUpTo(context, index);
    }
    if (index <= context.state.commitIndex) {
        respond(context, from, true, index, round);
        return;
    }
    const log = { snapshotIndex: index, snapshotTerm, snapshotMembership: membership, entries: [] };
    context.update({ log, commitIndex: index, durableIndex: index });
    context.addAction({ kind: "install-snapshot", message: request });
    respond(context, from, true, index, round);
};

/** Handlers of the leader's requests. */
export const followerHandlers = { onAppendRequest, onSnapshotRequest } as const;
