import { ConsensusState } from "./ConsensusState";
import { logQueries } from "./logQueries";
import { ReplicatedLog } from "./ReplicatedLog";
import { Role } from "./Role";

/** What a replica finds on its disk at start. */
type RecoveredState = {
    readonly id: string;
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly log: ReplicatedLog;
};

/** The state of a replica at start: a follower that knows no leader. */
export const initialState = ({ id, term, votedFor, log }: RecoveredState): ConsensusState => ({
    id,
    role: Role.Follower,
    term,
    votedFor,
    leaderId: undefined,
    log,
    durableIndex: logQueries.lastIndex(log),
    commitIndex: log.snapshotIndex,
    votes: [],
    peers: new Map(),
    contacts: [],
    round: 0,
    pendingReads: [],
});
