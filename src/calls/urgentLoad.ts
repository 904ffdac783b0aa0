/** The slot time that requests of each priority have recently taken, each counted less the longer ago it started. */
type UrgentLoadState = {
    /** Milliseconds by priority. */
    readonly workMs: ReadonlyMap<number, number>;
    readonly updatedAtMs: number;
};

/** Time constant of the decay: many service times, so that the load of a priority is steady. */
const DECAY_MS = 1_000;

/** Work below this is dropped, so that only priorities in use are kept. */
const MINIMUM_WORK_MS = 0.01;

/** The share of more urgent requests counts as at most this, so that the wait behind them stays finite. */
const MAXIMUM_SHARE = 0.98;

const empty: UrgentLoadState = { workMs: new Map(), updatedAtMs: 0 };

/** Records that a request starts that is expected to hold a slot for `workMs`. */
const record = (state: UrgentLoadState, priority: number, workMs: number, nowMs: number): UrgentLoadState => {
    const factor = Math.exp(-(nowMs - state.updatedAtMs) / DECAY_MS);
    const next = new Map<number, number>();
    state.workMs.forEach((work, each) => {
        if (work * factor > MINIMUM_WORK_MS) {
            next.set(each, work * factor);
        }
    });
    next.set(priority, (next.get(priority) ?? 0) + workMs);
    return { workMs: next, updatedAtMs: nowMs };
};

/** Returns the share of the slots that requests more urgent than this priority have recently taken, below 1. */
const shareBefore = (state: UrgentLoadState, priority: number, slots: number, nowMs: number): number => {
    let work = 0;
    state.workMs.forEach((each, urgent) => {
        work += urgent < priority ? each : 0;
    });
    const recent = work * Math.exp(-(nowMs - state.updatedAtMs) / DECAY_MS);
    return Math.min(MAXIMUM_SHARE, recent / (slots * DECAY_MS));
};

/**
 * Estimates how much of the slots more urgent requests take, which arrive later and still start before one that waits.
 * Answers the load of urgent requests that nearly fill the slots: the others would wait in vain until their deadline.
 */
export const urgentLoad = { empty, record, shareBefore } as const;
