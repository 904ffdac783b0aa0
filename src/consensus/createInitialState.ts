import { ConsensusState } from "./ConsensusState";
import { logOperations } from "./logOperations";
import { ReplicatedLog } from "./ReplicatedLog";
import { Role } from "./Role";

/** The id of a replica and the state recovered from its store. */
type RecoveredState = {
    readonly id: string;
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly log: ReplicatedLog;
};

/** Returns the state of a replica at its start: a follower without a known leader. */
export const createInitialState = ({ id, term, votedFor, log }: RecoveredState): ConsensusState => ({
    id,
    role: Role.Follower,
    term,
    votedFor,
    leaderId: undefined,
    log,
    durableIndex: logOperations.lastIndex(log),
    commitIndex: log.snapshotIndex,
    isConfirmed: false,
    votes: [],
    peers: new Map(),
    contacts: [],
    round: 0,
    pendingReads: [],
});
