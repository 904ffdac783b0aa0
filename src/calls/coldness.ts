/** What is known of whether a backend server is cold. Times are those of the node's monotonic clock. */
type Coldness = {
    /** Since when it may have become cold without saying so; undefined once a later statement has arrived. */
    readonly uncertainSinceMs: number | undefined;
    /** The end of the warm-up that it stated last. */
    readonly statedUntilMs: number;
    /** When the last statement that it is cold arrived. */
    readonly coldStatedAtMs: number;
};

/** A statement of the backend server, in a heartbeat or in the response to a health check. */
type Statement = {
    /** A time before which it can't have been made. */
    readonly notBeforeMs: number;
    /** 0 if it is warm. */
    readonly coldRemainingMs: number;
};

/** A heartbeat may arrive seconds after it was made. The response to a health check tells sooner. */
const HEARTBEAT_TRANSIT_MS = 10_000;

/** The state of a backend server of which nothing is known. It counts as cold. */
const unknown: Coldness = {
    uncertainSinceMs: Number.NEGATIVE_INFINITY,
    statedUntilMs: Number.NEGATIVE_INFINITY,
    coldStatedAtMs: Number.NEGATIVE_INFINITY,
};

const heartbeat = (coldRemainingMs: number, nowMs: number): Statement => ({
    notBeforeMs: nowMs - HEARTBEAT_TRANSIT_MS,
    coldRemainingMs,
});

/** Notes that the backend server may have restarted: a connection was refused or reset. */
const suspect = (state: Coldness, nowMs: number): Coldness => ({ ...state, uncertainSinceMs: nowMs });

/**
 * Applies a statement. A statement that it is cold always counts. One that it is warm does not count if it may have been
 * made before a reason for doubt or before the last statement that it is cold.
 */
const state = (current: Coldness, { coldRemainingMs, notBeforeMs }: Statement, nowMs: number): Coldness => {
    const uncertainSinceMs = current.uncertainSinceMs !== undefined && notBeforeMs >= current.uncertainSinceMs
        ? undefined
        : current.uncertainSinceMs;
    if (coldRemainingMs > 0) {
        return { uncertainSinceMs, statedUntilMs: nowMs + coldRemainingMs, coldStatedAtMs: nowMs };
    }
    const isNewer = notBeforeMs >= current.coldStatedAtMs;
    return { ...current, uncertainSinceMs, statedUntilMs: isNewer ? notBeforeMs : current.statedUntilMs };
};

/** True if the backend server is cold by its own statement. */
const isStated = ({ statedUntilMs }: Coldness, nowMs: number): boolean => nowMs < statedUntilMs;

/** True if the backend server is cold or may be. */
const isCold = (current: Coldness, nowMs: number): boolean =>
    current.uncertainSinceMs !== undefined || isStated(current, nowMs);

/** Tracks whether a backend server is cold, from what it states and from signs that it may have restarted. */
export const coldness = { unknown, heartbeat, suspect, state, isStated, isCold } as const;
