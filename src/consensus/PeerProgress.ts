/** What the leader knows of one peer's log. */
export type PeerProgress = {
    /** The next entry to send. */
    readonly nextIndex: number;
    /** The highest entry known to be durable on the peer. */
    readonly matchIndex: number;
    /** The highest heartbeat round that the peer answered. */
    readonly answeredRound: number;
    /** True while a snapshot is on its way to the peer. */
    readonly snapshotPending: boolean;
};
