/** The number of lines written and suppressed in the current second, by event. */
type RateLimitState = {
    /** Monotonic time in whole seconds. */
    readonly second: number;
    readonly written: ReadonlyMap<string, number>;
    readonly suppressed: ReadonlyMap<string, number>;
};

/** Whether a line may be written. The first decision of a second also has the counts of lines suppressed before it. */
type RateLimitDecision = {
    readonly state: RateLimitState;
    readonly allowed: boolean;
    /** By event; empty if this is not the first decision of a second. */
    readonly suppressedLines: ReadonlyMap<string, number>;
};

const emptyCounts: ReadonlyMap<string, number> = new Map();

const initial: RateLimitState = { second: 0, written: emptyCounts, suppressed: emptyCounts };

const increment = (counts: ReadonlyMap<string, number>, event: string): ReadonlyMap<string, number> =>
    new Map(counts).set(event, (counts.get(event) ?? 0) + 1);

/** Decides whether a line of the given event may be written. Each event may have `linesPerSecond` lines a second. */
const take = (state: RateLimitState, event: string, nowMs: number, linesPerSecond: number): RateLimitDecision => {
    const second = Math.floor(nowMs / 1_000);
    const suppressedLines = second === state.second ? emptyCounts : state.suppressed;
    const current = second === state.second ? state : { second, written: emptyCounts, suppressed: emptyCounts };
    const allowed = (current.written.get(event) ?? 0) < linesPerSecond;
    const next = allowed
        ? { ...current, written: increment(current.written, event) }
        : { ...current, suppressed: increment(current.suppressed, event) };
    return { state: next, allowed, suppressedLines };
};

/** Limits the log lines of each event per second and counts the suppressed ones. */
export const logRateLimit = { initial, take } as const;
