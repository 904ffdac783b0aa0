/** What is known about the turns of an event loop from a timer that fires in each of them. */
type TurnState = {
    /** When the timer fired last, and the time before. */
    readonly tickedMs: number;
    readonly previousTickMs: number;
    /** True from the last tick until its turn ends. */
    readonly isInTickedTurn: boolean;
};

/** Interval of the timer. What is read is known to have waited only for longer than this. */
const tickIntervalMs = 50;

/**
 * Reading that is late by less than this is not worth a further turn: few callers leave within that time, and all others
 * would wait.
 */
const settleAfterMs = 150;

const create = (nowMs: number): TurnState => ({ tickedMs: nowMs, previousTickMs: nowMs, isInTickedTurn: false });

const tick = ({ tickedMs }: TurnState, nowMs: number): TurnState => ({
    tickedMs: nowMs,
    previousTickMs: tickedMs,
    isInTickedTurn: true,
});

const endTurn = (state: TurnState): TurnState => ({ ...state, isInTickedTurn: false });

/**
 * Returns the time since which sockets were polled last, at most. Each turn polls all of them after its timers, so what
 * arrived before the last tick of an earlier turn has been read.
 */
const sincePolledMs = ({ isInTickedTurn, previousTickMs, tickedMs }: TurnState, nowMs: number): number =>
    nowMs - (isInTickedTurn ? previousTickMs : tickedMs);

/** Returns for how long what is read now may have waited unread, beyond the interval of the timer. */
const unreadMs = (state: TurnState, nowMs: number): number => Math.max(0, sincePolledMs(state, nowMs) - tickIntervalMs);

/** True if more may have arrived since the sockets were polled than what has been read. */
const mustSettle = (state: TurnState, nowMs: number): boolean => unreadMs(state, nowMs) >= settleAfterMs;

/** Decides from the turns of the event loop how late this process reads. */
export const turnLateness = {
    tickIntervalMs,
    settleAfterMs,
    create,
    tick,
    endTurn,
    sincePolledMs,
    unreadMs,
    mustSettle,
} as const;
