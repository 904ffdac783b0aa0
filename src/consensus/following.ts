import { ConsensusMessage } from "./ConsensusMessage";
import { LogEntry } from "./LogEntry";
import { logQueries } from "./logQueries";
import { Role } from "./Role";
import { roleChanges } from "./roleChanges";
import { StepContext } from "./StepContext";

type AppendRequest = ConsensusMessage & { readonly kind: "append-request"; };
type SnapshotRequest = ConsensusMessage & { readonly kind: "snapshot-request"; };

const answer = (context: StepContext, to: string, success: boolean, matchIndex: number, round: number): void => {
    const { term } = context.state;
    context.act({ kind: "send", to, message: { kind: "append-response", term, success, matchIndex, round } });
};

const followLeader = (context: StepContext, from: string): void => {
    if (context.state.role !== Role.Follower) {
        roleChanges.becomeFollower(context, context.state.term, from);
        return;
    }
    context.update({ leaderId: from });
    context.act({ kind: "reset-election-timer" });
};

const commitUpTo = (context: StepContext, index: number): void => {
    if (index > context.state.commitIndex) {
        context.update({ commitIndex: index });
        context.act({ kind: "committed", index });
    }
};

/** Adds the entries from the first that differs on. Entries that already match are kept. */
const store = (context: StepContext, entries: readonly LogEntry[]): void => {
    const { log } = context.state;
    const fresh = entries.filter(({ index }) => index > log.snapshotIndex);
    const start = fresh.findIndex(({ index, term }) => logQueries.termAt(log, index) !== term);
    if (start < 0) {
        return;
    }
    const added = fresh.slice(start);
    const fromIndex = added[0].index;
    context.update({ log: logQueries.append(logQueries.truncateFrom(log, fromIndex), added) });
    context.act({ kind: "persist-entries", fromIndex, entries: added });
};

const onAppendRequest = (context: StepContext, from: string, request: AppendRequest): void => {
    const { entries, previousIndex, previousTerm, round } = request;
    if (request.term < context.state.term) {
        answer(context, from, false, 0, round);
        return;
    }
    followLeader(context, from);
    const { commitIndex, log } = context.state;
    // Everything up to the commit index is known to match, so an older prefix needs no check.
    const matches = previousIndex <= commitIndex || logQueries.termAt(log, previousIndex) === previousTerm;
    if (!matches) {
        answer(context, from, false, Math.min(previousIndex - 1, logQueries.lastIndex(log)), round);
        return;
    }
    store(context, entries);
    const matchIndex = previousIndex + entries.length;
    commitUpTo(context, Math.min(request.commitIndex, matchIndex));
    answer(context, from, true, matchIndex, round);
};

const onSnapshotRequest = (context: StepContext, from: string, request: SnapshotRequest): void => {
    const { index, membership, round, snapshotTerm } = request;
    if (request.term < context.state.term) {
        answer(context, from, false, 0, round);
        return;
    }
    followLeader(context, from);
    if (index <= context.state.commitIndex) {
        answer(context, from, true, index, round);
        return;
    }
    const log = { snapshotIndex: index, snapshotTerm, snapshotMembership: membership, entries: [] };
    context.update({ log, commitIndex: index, durableIndex: index });
    context.act({ kind: "install-snapshot", message: request });
    answer(context, from, true, index, round);
};

/** What a follower does with its leader's requests. */
export const following = { onAppendRequest, onSnapshotRequest } as const;
