/**
 * Lets the receiver of a message estimate for how long it was under way. Times are of the monotonic clock of whoever
 * states them, in whole ms.
 */
export type MessageTiming = {
    readonly sentAtMs: number;
    /** The last message of the other end that stated a time, and how long ago it was received. */
    readonly lastReceived?: { readonly sentAtMs: number; readonly heldMs: number; };
};
