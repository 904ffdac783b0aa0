import { PeerProgress } from "./PeerProgress";
import { PendingRead } from "./PendingRead";
import { ReplicatedLog } from "./ReplicatedLog";
import { Role } from "./Role";

/** The whole state of one replica of the consensus protocol. */
export type ConsensusState = {
    readonly id: string;
    readonly role: Role;
    readonly term: number;
    readonly votedFor: string | undefined;
    /** The leader heard from since the last election timeout. While known, no vote is given to others. */
    readonly leaderId: string | undefined;
    readonly log: ReplicatedLog;
    /** The leader's own log is synced up to here. */
    readonly durableIndex: number;
    readonly commitIndex: number;
    readonly votes: readonly string[];
    readonly peers: ReadonlyMap<string, PeerProgress>;
    /** Voters heard from since the last quorum check. */
    readonly contacts: readonly string[];
    readonly round: number;
    readonly pendingReads: readonly PendingRead[];
};
