/** The timers of the consensus protocol, in milliseconds. */
export type ConsensusTimings = {
    /** A follower waits between this and twice this for its leader before it asks for votes. */
    readonly electionTimeoutMs: number;
    /**
     * The same for the first wait after the start, if it differs. A leader that is there shows itself within a
     * heartbeat, and pre-votes keep a hasty replica from disturbing it.
     */
    readonly firstElectionTimeoutMs?: number;
    readonly heartbeatIntervalMs: number;
    /** The leader's lease: it steps down if no quorum answers within this time. */
    readonly quorumCheckMs: number;
};
