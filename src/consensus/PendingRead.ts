/** A read barrier at `index` that waits until a quorum has responded to `round`, which confirms the leadership. */
export type PendingRead = {
    readonly requestId: string;
    readonly round: number;
    readonly index: number;
};
