import { Disposable } from "../core/Disposable";
import { LogEntry } from "./LogEntry";
import { Membership } from "./Membership";
import { StoredReplica } from "./StoredReplica";

/** A state machine's state and the log position that it covers. */
type Snapshot = {
    readonly index: number;
    readonly term: number;
    readonly membership: Membership;
    readonly data: unknown;
};

/** Durable state of a replica. Every promise resolves only after the data is synced. */
export abstract class ReplicaStore implements Disposable {
    /** Reads what earlier runs stored. `firstMembership` counts if the store is empty. */
    public abstract recover(firstMembership: Membership): Promise<StoredReplica>;

    public abstract saveVote(term: number, votedFor: string | undefined): Promise<void>;

    /** Replaces all entries from `fromIndex` on by the given ones. */
    public abstract saveEntries(fromIndex: number, entries: readonly LogEntry[]): Promise<void>;

    /** Stores a snapshot and drops the entries that it covers. `keep` holds the entries after it. */
    public abstract saveSnapshot(snapshot: Snapshot, keep: readonly LogEntry[]): Promise<void>;

    public abstract dispose(): Promise<void>;
}
