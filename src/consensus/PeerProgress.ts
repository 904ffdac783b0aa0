/** The leader's view of one peer's log. */
export type PeerProgress = {
    /** The index of the next entry to send. */
    readonly nextIndex: number;
    /** The highest index known to be durable on the peer. */
    readonly matchIndex: number;
    /** The highest heartbeat or read barrier round that the peer has responded to. */
    readonly answeredRound: number;
    /** True until a sent snapshot is acknowledged. A quorum check clears it, so that a lost snapshot is sent again. */
    readonly snapshotPending: boolean;
    /** Quorum checks in a row that passed without a response from the peer; see `responsiveness`. */
    readonly missedChecks: number;
};
