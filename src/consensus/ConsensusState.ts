import { PeerProgress } from "./PeerProgress";
import { PendingRead } from "./PendingRead";
import { ReplicatedLog } from "./ReplicatedLog";
import { Role } from "./Role";

/** The complete protocol state of one replica. */
export type ConsensusState = {
    readonly id: string;
    readonly role: Role;
    readonly term: number;
    readonly votedFor: string | undefined;
    /** The leader that sent a message since the last election timeout. While known, no other replica gets a vote. */
    readonly leaderId: string | undefined;
    readonly log: ReplicatedLog;
    /** This replica's own log is known to be synced up to this index. Only a leader uses it, to count its own copy. */
    readonly durableIndex: number;
    readonly commitIndex: number;
    /**
     * True once this replica, since its start, knew that its commit index includes all entries that were committed
     * before: as a leader that committed in its term, or from such a leader.
     */
    readonly isConfirmed: boolean;
    readonly votes: readonly string[];
    readonly peers: ReadonlyMap<string, PeerProgress>;
    /** Peers that responded to this leader since the last quorum check, or voted for it since then. */
    readonly contacts: readonly string[];
    /** The latest heartbeat or read barrier round of this leader. */
    readonly round: number;
    readonly pendingReads: readonly PendingRead[];
};
