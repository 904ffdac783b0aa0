/** Lines written and left out in the present second, by event. */
type LogBudgetState = {
    readonly second: number;
    readonly written: ReadonlyMap<string, number>;
    readonly leftOut: ReadonlyMap<string, number>;
};

/** Whether a line may be written, and what was left out in a second that is over. */
type BudgetDecision = {
    readonly state: LogBudgetState;
    readonly allowed: boolean;
    readonly summary: ReadonlyMap<string, number>;
};

const none: ReadonlyMap<string, number> = new Map();

const initial: LogBudgetState = { second: 0, written: none, leftOut: none };

const increased = (counts: ReadonlyMap<string, number>, event: string): ReadonlyMap<string, number> =>
    new Map(counts).set(event, (counts.get(event) ?? 0) + 1);

/** Decides on a line of the given event. Each event has as many lines a second as `linesPerSecond`. */
const take = (state: LogBudgetState, event: string, nowMs: number, linesPerSecond: number): BudgetDecision => {
    const second = Math.floor(nowMs / 1_000);
    const summary = second === state.second ? none : state.leftOut;
    const present = second === state.second ? state : { second, written: none, leftOut: none };
    const allowed = (present.written.get(event) ?? 0) < linesPerSecond;
    const next = allowed
        ? { ...present, written: increased(present.written, event) }
        : { ...present, leftOut: increased(present.leftOut, event) };
    return { state: next, allowed, summary };
};

/** Bounds the lines of each event a second and counts those that are left out. */
export const logBudgets = { initial, take } as const;
