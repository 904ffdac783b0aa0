/** Requests and retries of one service at this node, in slices of time, oldest first. */
type RetryBudgetState = {
    readonly slices: readonly BudgetSlice[];
};

type BudgetSlice = {
    readonly startedMs: number;
    readonly requests: number;
    readonly retries: number;
};

/** How many of a service's requests one node may retry: its share of the budget of all nodes. */
type RetryAllowance = {
    /** Retries allowed for each request. */
    readonly ratio: number;
    readonly windowMs: number;
    /** Retries that one node may make in a window in addition to the ratio. */
    readonly slack: number;
};

const SLICES_PER_WINDOW = 10;

const empty: RetryBudgetState = { slices: [] };

const recentSlices = (
    { slices }: RetryBudgetState,
    { windowMs }: RetryAllowance,
    nowMs: number,
): readonly BudgetSlice[] => slices.filter(({ startedMs }) => nowMs - startedMs < windowMs);

const add = (
    state: RetryBudgetState,
    allowance: RetryAllowance,
    nowMs: number,
    added: Omit<BudgetSlice, "startedMs">,
): RetryBudgetState => {
    const slices = recentSlices(state, allowance, nowMs);
    const last = slices.at(-1);
    if (last && nowMs - last.startedMs < allowance.windowMs / SLICES_PER_WINDOW) {
        const merged = {
            ...last,
            requests: last.requests + added.requests,
            retries: last.retries + added.retries,
        };
        return { slices: [...slices.slice(0, -1), merged] };
    }
    return { slices: [...slices, { startedMs: nowMs, ...added }] };
};

const onRequest = (state: RetryBudgetState, allowance: RetryAllowance, nowMs: number): RetryBudgetState =>
    add(state, allowance, nowMs, { requests: 1, retries: 0 });

const onRetry = (state: RetryBudgetState, allowance: RetryAllowance, nowMs: number): RetryBudgetState =>
    add(state, allowance, nowMs, { requests: 0, retries: 1 });

/** True if one more retry stays within this node's allowance. */
const mayRetry = (state: RetryBudgetState, allowance: RetryAllowance, nowMs: number): boolean => {
    let requests = 0;
    let retries = 0;
    for (const slice of recentSlices(state, allowance, nowMs)) {
        requests += slice.requests;
        retries += slice.retries;
    }
    return retries + 1 <= requests * allowance.ratio + allowance.slack;
};

/** Limits retries. Each node keeps to its own allowance, so that all nodes together stay within the total. */
export const retryBudget = { empty, onRequest, onRetry, mayRetry } as const;
