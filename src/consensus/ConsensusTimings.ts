/** The timers of the consensus protocol, in milliseconds. */
export type ConsensusTimings = {
    /** A follower waits between this and twice this for its leader before it asks for votes. */
    readonly electionTimeoutMs: number;
    /**
     * The shortest wait after the start until a leader was heard of, if it differs; the longest is five times that, so
     * that replicas that start together seldom stand at the same time. A leader that is there shows itself within a
     * heartbeat, and pre-votes keep a hasty replica from disturbing it.
     */
    readonly firstElectionTimeoutMs?: number;
    readonly heartbeatIntervalMs: number;
    /** The leader's lease: it steps down if no quorum answers within this time. */
    readonly quorumCheckMs: number;
};
