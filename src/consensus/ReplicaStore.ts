import { Disposable } from "../core/Disposable";
import { LogEntry } from "./LogEntry";
import { Membership } from "./Membership";
import { StoredReplica } from "./StoredReplica";

/** The state machine's state after the entry at `index`, with that entry's term and the membership at that point. */
type Snapshot = {
    readonly index: number;
    readonly term: number;
    readonly membership: Membership;
    readonly data: unknown;
};

/** The durable state of a replica. Every promise resolves only after the data is synced. */
export abstract class ReplicaStore implements Disposable {
    /** Reads the stored state; must be called first. `firstMembership` applies if there is no snapshot. */
    public abstract recover(firstMembership: Membership): Promise<StoredReplica>;

    public abstract saveVote(term: number, votedFor: string | undefined): Promise<void>;

    /** Replaces all entries from `fromIndex` on with the given ones. */
    public abstract saveEntries(fromIndex: number, entries: readonly LogEntry[]): Promise<void>;

    /** Stores a snapshot and replaces the log with `remainingEntries`, the entries after the snapshot. */
    public abstract saveSnapshot(snapshot: Snapshot, remainingEntries: readonly LogEntry[]): Promise<void>;

    public abstract dispose(): Promise<void>;
}
