/** What callers may send, and how long they may take. */
export type CallerLimits = {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    /** The longest time for a request's head to arrive. */
    readonly headerTimeoutMs: number;
    /** Idle connections of callers are kept open at least this long. */
    readonly idleTimeoutMs: number;
};
