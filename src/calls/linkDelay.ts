/** When a message was sent, by the clock of its sender, and when it was read, by the clock of its receiver. */
type Transit = {
    readonly sentAtMs: number;
    readonly receivedAtMs: number;
    /** Round trip that ended with this message; undefined if its sender had received nothing before. */
    readonly roundTripMs: number | undefined;
    /** For how long the receiver may have left the message unread. */
    readonly unreadMs: number;
};

/** What the messages of a link have shown lately about the difference between the clocks of its two ends. */
type LinkDelay = {
    readonly windowStartMs: number;
    /** The clocks differ by no more: the least difference between sending and receiving. */
    readonly leastMs: number;
    readonly previousLeastMs: number;
    /** The clocks differ by no less, since no message arrived before it was sent in the opposite direction. */
    readonly greatestMs: number;
    readonly previousGreatestMs: number;
};

/** Differences are forgotten after one to two windows, so that they follow drifting clocks and changed paths. */
const WINDOW_MS = 10_000;

/** Times are stated in whole ms, so that bounds may cross by this much. */
const ROUNDING_MS = 3;

const empty: LinkDelay = {
    windowStartMs: Number.NEGATIVE_INFINITY,
    leastMs: Number.POSITIVE_INFINITY,
    previousLeastMs: Number.POSITIVE_INFINITY,
    greatestMs: Number.NEGATIVE_INFINITY,
    previousGreatestMs: Number.NEGATIVE_INFINITY,
};

/** Takes in a message. */
const record = (state: LinkDelay, { receivedAtMs, roundTripMs, sentAtMs }: Transit): LinkDelay => {
    const differenceMs = receivedAtMs - sentAtMs;
    const boundMs = roundTripMs === undefined ? Number.NEGATIVE_INFINITY : differenceMs - roundTripMs;
    const windowAgeMs = receivedAtMs - state.windowStartMs;
    const hasClockStopped = Math.max(state.greatestMs, state.previousGreatestMs) > differenceMs + ROUNDING_MS;
    if (hasClockStopped || windowAgeMs >= 2 * WINDOW_MS) {
        return { ...empty, windowStartMs: receivedAtMs, leastMs: differenceMs, greatestMs: boundMs };
    }
    if (windowAgeMs < WINDOW_MS) {
        const leastMs = Math.min(state.leastMs, differenceMs);
        return { ...state, leastMs, greatestMs: Math.max(state.greatestMs, boundMs) };
    }
    return {
        windowStartMs: receivedAtMs,
        leastMs: differenceMs,
        previousLeastMs: state.leastMs,
        greatestMs: boundMs,
        previousGreatestMs: state.greatestMs,
    };
};

/**
 * Returns for how long a message that was recorded may have been under way. The clocks of the two ends need not agree. It
 * is what the message took beyond the fastest one lately, or what the receiver left unread if that is more: all messages
 * of a link may have been late. It can't be more than round trips allow, which also bounds the error after a clock has stood
 * still.
 */
const ageMs = (
    { greatestMs, leastMs, previousGreatestMs, previousLeastMs }: LinkDelay,
    { receivedAtMs, sentAtMs, unreadMs }: Transit,
): number => {
    const differenceMs = receivedAtMs - sentAtMs;
    const excessMs = differenceMs - Math.min(leastMs, previousLeastMs);
    const atMostMs = differenceMs - Math.max(greatestMs, previousGreatestMs);
    return Math.max(0, Math.min(Math.max(excessMs, unreadMs), atMostMs));
};

/** Estimates how long messages of a link were under way, from their one-way delays and round trips. */
export const linkDelay = { empty, record, ageMs } as const;
