/** A read that waits until a quorum confirms that this replica still leads. */
export type PendingRead = {
    readonly requestId: string;
    readonly round: number;
    readonly index: number;
};
