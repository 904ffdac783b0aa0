/** Timer durations of the consensus protocol, in milliseconds. */
export type ConsensusTimings = {
    /** A follower requests pre-votes when it has received nothing from its leader for one to two times this long. */
    readonly electionTimeoutMs: number;
    /**
     * The shortest election timeout from the start until a leader is first known. The longest is five times that, so
     * that replicas that start together seldom become candidates at the same time. It may be short: an existing leader
     * is heard within a heartbeat interval, and pre-votes protect it from early candidates. If undefined,
     * `electionTimeoutMs` applies from the start.
     */
    readonly firstElectionTimeoutMs?: number;
    readonly heartbeatIntervalMs: number;
    /** The leader's lease: it steps down if no quorum responds within this time. */
    readonly quorumCheckMs: number;
};
