/** Timer durations of the consensus protocol, in milliseconds. */
export type ConsensusTimings = {
    /** A follower requests pre-votes after it received nothing from its leader for between once and twice this time. */
    readonly electionTimeoutMs: number;
    /**
     * The shortest election timeout from the start until a leader is known, if it differs from `electionTimeoutMs`. The
     * longest is five times that, so that replicas that start together seldom become candidates at the same time. It
     * may be short: an existing leader is heard within a heartbeat interval, and pre-votes protect it from early
     * candidates.
     */
    readonly firstElectionTimeoutMs?: number;
    readonly heartbeatIntervalMs: number;
    /** The leader's lease: it steps down if no quorum responds within this time. */
    readonly quorumCheckMs: number;
};
