/** Requests and repetitions of one service at this node, in slices of time. Oldest first. */
type RepeatBudgetState = {
    readonly slices: readonly BudgetSlice[];
};

type BudgetSlice = {
    readonly startedMs: number;
    readonly requests: number;
    readonly repeats: number;
};

/** What all nodes together may repeat of a service's requests. */
type RepeatAllowance = {
    /** Repetitions for each request. */
    readonly ratio: number;
    readonly windowMs: number;
    /** Repetitions that one node may make in a window besides the ratio. */
    readonly slack: number;
};

const SLICES_PER_WINDOW = 10;

const empty: RepeatBudgetState = { slices: [] };

const current = ({ slices }: RepeatBudgetState, { windowMs }: RepeatAllowance, nowMs: number): readonly BudgetSlice[] =>
    slices.filter(({ startedMs }) => nowMs - startedMs < windowMs);

const add = (
    state: RepeatBudgetState,
    allowance: RepeatAllowance,
    nowMs: number,
    added: Omit<BudgetSlice, "startedMs">,
): RepeatBudgetState => {
    const slices = current(state, allowance, nowMs);
    const last = slices.at(-1);
    if (last && nowMs - last.startedMs < allowance.windowMs / SLICES_PER_WINDOW) {
        const merged = {
            ...last,
            requests: last.requests + added.requests,
            repeats: last.repeats + added.repeats,
        };
        return { slices: [...slices.slice(0, -1), merged] };
    }
    return { slices: [...slices, { startedMs: nowMs, ...added }] };
};

const onRequest = (state: RepeatBudgetState, allowance: RepeatAllowance, nowMs: number): RepeatBudgetState =>
    add(state, allowance, nowMs, { requests: 1, repeats: 0 });

const onRepeat = (state: RepeatBudgetState, allowance: RepeatAllowance, nowMs: number): RepeatBudgetState =>
    add(state, allowance, nowMs, { requests: 0, repeats: 1 });

/** True if one more repetition keeps this node within its part of the allowance. */
const mayRepeat = (state: RepeatBudgetState, allowance: RepeatAllowance, nowMs: number): boolean => {
    let requests = 0;
    let repeats = 0;
    for (const slice of current(state, allowance, nowMs)) {
        requests += slice.requests;
        repeats += slice.repeats;
    }
    return repeats + 1 <= requests * allowance.ratio + allowance.slack;
};

/** The budget of repetitions: each node keeps to its part, so that all together keep to the whole. */
export const repeatBudget = { empty, onRequest, onRepeat, mayRepeat } as const;
