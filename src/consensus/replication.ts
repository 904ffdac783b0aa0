import { ConsensusMessage } from "./ConsensusMessage";
import { LogEntry } from "./LogEntry";
import { logOperations } from "./logOperations";
import { PeerProgress } from "./PeerProgress";
import { StepContext } from "./StepContext";

const MAXIMUM_BATCH_ENTRIES = 256;

const setProgress = (context: StepContext, id: string, change: Partial<PeerProgress>): void => {
    const current = context.state.peers.get(id);
    if (!current) {
        return;
    }
    const peers = new Map(context.state.peers).set(id, { ...current, ...change });
    context.update({ peers });
};

const snapshotRequest = ({ state }: StepContext): ConsensusMessage & { readonly kind: "snapshot-request"; } => {
    const { log, round, term } = state;
    return {
        kind: "snapshot-request",
        term,
        index: log.snapshotIndex,
        snapshotTerm: log.snapshotTerm,
        membership: log.snapshotMembership,
        round,
    };
};

/** Sends the state to a peer whose own state differs at the same entry. Its log is not behind. */
const replaceState = (context: StepContext, to: string): void => {
    context.addAction({ kind: "send", to, message: { ...snapshotRequest(context), replacesState: true } });
};

const sendSnapshot = (context: StepContext, to: string): void => {
    const { log } = context.state;
    context.addAction({ kind: "send", to, message: snapshotRequest(context) });
    setProgress(context, to, { nextIndex: log.snapshotIndex + 1, snapshotPending: true });
};

/** Sends the entries that a peer is missing, a snapshot if they were compacted, or an empty request as a heartbeat. */
const sendEntries = (context: StepContext, to: string): void => {
    const { commitIndex, log, peers, round, term } = context.state;
    const progress = peers.get(to);
    if (!progress) {
        return;
    }
    if (progress.nextIndex <= log.snapshotIndex && !progress.snapshotPending) {
        sendSnapshot(context, to);
        return;
    }
    const nextIndex = Math.max(progress.nextIndex, log.snapshotIndex + 1);
    const previousIndex = nextIndex - 1;
    const entries = progress.snapshotPending ? [] : logOperations.entriesFrom(log, nextIndex, MAXIMUM_BATCH_ENTRIES);
    const previousTerm = logOperations.termAt(log, previousIndex) ?? 0;
    const message: ConsensusMessage = {
        kind: "append-request",
        term,
        previousIndex,
        previousTerm,
        entries,
        commitIndex,
        round,
    };
    context.addAction({ kind: "send", to, message });
    setProgress(context, to, { nextIndex: nextIndex + entries.length });
};

const sendToAll = (context: StepContext): void => {
    context.peerIds.forEach((id) => sendEntries(context, id));
};

/** Adds progress for peers that joined the membership and removes that of peers that left it. */
const updatePeers = (context: StepContext): void => {
    const currentPeers = context.state.peers;
    const lastIndex = logOperations.lastIndex(context.state.log);
    const initialProgress: PeerProgress = {
        nextIndex: lastIndex,
        matchIndex: 0,
        answeredRound: 0,
        snapshotPending: false,
        missedChecks: 0,
    };
    context.update({ peers: new Map(context.peerIds.map((id) => [id, currentPeers.get(id) ?? initialProgress])) });
};

const appendAsLeader = (context: StepContext, entry: LogEntry): void => {
    context.update({ log: logOperations.append(context.state.log, [entry]) });
    if (entry.payload.kind === "membership") {
        updatePeers(context);
    }
    context.addAction({ kind: "persist-entries", fromIndex: entry.index, entries: [entry] });
    sendToAll(context);
};

const isReplicated = (context: StepContext, index: number): boolean => {
    const { durableIndex, id, peers } = context.state;
    const holders = new Set([...peers].filter(([, { matchIndex }]) => matchIndex >= index).map(([peerId]) => peerId));
    if (durableIndex >= index) {
        holders.add(id);
    }
    return context.hasQuorum(context.membership, holders);
};

/**
 * Commits the highest entry of the current term that a quorum has stored. Entries of earlier terms are committed only
 * along with it.
 */
const advanceCommit = (context: StepContext): void => {
    const { commitIndex, log, term } = context.state;
    for (let index = logOperations.lastIndex(log); index > commitIndex; index -= 1) {
        if (logOperations.termAt(log, index) !== term) {
            return;
        }
        if (isReplicated(context, index)) {
            context.update({ commitIndex: index, isConfirmed: true });
            context.addAction({ kind: "committed", index });
            return;
        }
    }
};

/** Replicates the log to the peers and commits the entries that a quorum has stored. */
export const replication = {
    appendAsLeader,
    advanceCommit,
    replaceState,
    sendEntries,
    sendToAll,
    setProgress,
} as const;
