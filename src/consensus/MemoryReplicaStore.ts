import { LogEntry } from "./LogEntry";
import { logOperations } from "./logOperations";
import { Membership } from "./Membership";
import { ReplicaStore } from "./ReplicaStore";
import { StoredReplica } from "./StoredReplica";

/** Stores a replica's state in memory. Used in tests only; it would also do for learners without a disk. */
export class MemoryReplicaStore extends ReplicaStore {
    private stored: StoredReplica | undefined;

    public override recover(firstMembership: Membership): Promise<StoredReplica> {
        const log = { snapshotIndex: 0, snapshotTerm: 0, snapshotMembership: firstMembership, entries: [] };
        this.stored ??= { term: 0, votedFor: undefined, log, snapshotData: undefined };
        return Promise.resolve(this.stored);
    }

    public override saveVote(term: number, votedFor: string | undefined): Promise<void> {
        this.stored = { ...this.requireStored(), term, votedFor };
        return Promise.resolve();
    }

    public override saveEntries(fromIndex: number, entries: readonly LogEntry[]): Promise<void> {
        const { log } = this.requireStored();
        this.stored = {
            ...this.requireStored(),
            log: logOperations.append(logOperations.truncateFrom(log, fromIndex), entries),
        };
        return Promise.resolve();
    }

    public override saveSnapshot(
        { data, index, membership, term }: Parameters<ReplicaStore["saveSnapshot"]>[0],
        remainingEntries: readonly LogEntry[],
    ): Promise<void> {
        const log = {
            snapshotIndex: index,
            snapshotTerm: term,
            snapshotMembership: membership,
            entries: remainingEntries,
        };
        this.stored = { ...this.requireStored(), log, snapshotData: data };
        return Promise.resolve();
    }

    public override dispose(): Promise<void> {
        return Promise.resolve();
    }

    private requireStored(): StoredReplica {
        if (!this.stored) {
            throw new Error("call recover() before any other method");
        }
        return this.stored;
    }
}
