/** An accepted order, kept to recognize it if it arrives again. */
export type AcceptedOrder = {
    /** Increases with each accepted order. */
    readonly number: number;
    /** See `acceptedOrders`. */
    readonly identity: string;
    /** Unix time in ms at which the leader received it. */
    readonly acceptedAtMs: number;
};
