/** A request that waits for a slot of the backend server. */
type WaitingCall = {
    readonly key: number;
    readonly priority: number;
    readonly arrivedMs: number;
    /** On the node's steady clock. */
    readonly deadlineMs: number;
};

/** The slots of one backend server and the requests that wait for them, most urgent first. */
type SlotQueueState = {
    readonly slots: number;
    readonly active: number;
    readonly waiting: readonly WaitingCall[];
    /** Moving average of how long a request holds a slot. */
    readonly serviceMs: number;
};

/** What happens to a request that arrives. */
type Admission =
    | { readonly kind: "start"; readonly state: SlotQueueState; }
    | { readonly kind: "wait"; readonly state: SlotQueueState; }
    | { readonly kind: "refuse"; readonly state: SlotQueueState; readonly retryAfterMs: number; };

/** Requests that become able to start, and those whose time is over before they could. */
type Progress = {
    readonly state: SlotQueueState;
    readonly started: readonly number[];
    readonly expired: readonly number[];
};

/** Assumed until requests have ended: a middling request of an ordinary service. */
const INITIAL_SERVICE_MS = 50;

/** Weight of a new sample in the moving average: about the last 20 requests count. */
const SERVICE_TIME_WEIGHT = 0.05;

/** A request is let in only if at least this part of the usual service time would be left once it starts. */
const REQUIRED_SERVICE_SHARE = 1;

/** Callers come back no sooner than this: one round trip between hosts and some work. */
const MINIMUM_RETRY_AFTER_MS = 20;

const create = (slots: number): SlotQueueState => ({ slots, active: 0, waiting: [], serviceMs: INITIAL_SERVICE_MS });

/** Time until a request that has `ahead` others in front of it gets a slot. */
const expectedWaitMs = ({ active, serviceMs, slots }: SlotQueueState, ahead: number): number => {
    const before = Math.max(0, active - slots) + ahead;
    return active < slots && ahead === 0 ? 0 : ((before + 1) * serviceMs) / slots;
};

const goesBefore = (left: WaitingCall, right: WaitingCall): boolean =>
    left.priority !== right.priority ? left.priority < right.priority : left.deadlineMs < right.deadlineMs;

const fits = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number): boolean =>
    nowMs + expectedWaitMs(state, ahead) + state.serviceMs * REQUIRED_SERVICE_SHARE <= call.deadlineMs;

/** Decides on a request that arrives: it starts, waits, or is refused at once because it could not end in time. */
const offer = (state: SlotQueueState, call: WaitingCall, nowMs: number): Admission => {
    if (state.active < state.slots && state.waiting.length === 0) {
        return { kind: "start", state: { ...state, active: state.active + 1 } };
    }
    const found = state.waiting.findIndex((other) => goesBefore(call, other));
    const place = found < 0 ? state.waiting.length : found;
    if (!fits(state, call, place, nowMs)) {
        const retryAfterMs = Math.max(MINIMUM_RETRY_AFTER_MS, expectedWaitMs(state, place));
        return { kind: "refuse", state, retryAfterMs };
    }
    const waiting = [...state.waiting.slice(0, place), call, ...state.waiting.slice(place)];
    return { kind: "wait", state: { ...state, waiting } };
};

/** Starts what fits into free slots and gives up what can't end in time any more. */
const advance = (state: SlotQueueState, nowMs: number): Progress => {
    const started: number[] = [];
    const expired: number[] = [];
    const kept: WaitingCall[] = [];
    let { active } = state;
    for (const call of state.waiting) {
        if (nowMs + state.serviceMs * REQUIRED_SERVICE_SHARE > call.deadlineMs) {
            expired.push(call.key);
        }
        else if (active < state.slots) {
            active += 1;
            started.push(call.key);
        }
        else {
            kept.push(call);
        }
    }
    return { state: { ...state, active, waiting: kept }, started, expired };
};

/** A request has left its slot. `serviceMs` is undefined if its time says nothing about the backend server. */
const release = (state: SlotQueueState, serviceMs: number | undefined, nowMs: number): Progress => {
    const average = serviceMs === undefined
        ? state.serviceMs
        : state.serviceMs + SERVICE_TIME_WEIGHT * (serviceMs - state.serviceMs);
    return advance({ ...state, active: Math.max(0, state.active - 1), serviceMs: average }, nowMs);
};

/** A waiting request is withdrawn, for example because its caller has left. */
const withdraw = (state: SlotQueueState, key: number): SlotQueueState => ({
    ...state,
    waiting: state.waiting.filter((call) => call.key !== key),
});

const resize = (state: SlotQueueState, slots: number): SlotQueueState => ({ ...state, slots });

/** Admission to the slots of a backend server: by priority, and only what can end before its deadline. */
export const slotQueue = { create, offer, advance, release, withdraw, resize, expectedWaitMs } as const;
