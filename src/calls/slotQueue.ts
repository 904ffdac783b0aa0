/** A request that waits for a slot of the backend server. Times are on the node's steady clock. */
type WaitingCall = {
    readonly key: number;
    /** Requests of one route take similar time. */
    readonly route: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly arrivedMs: number;
    /** Answers after this are late. */
    readonly targetAtMs: number;
    readonly deadlineMs: number;
};

/** The slots of one backend server and the requests that wait for them. */
type SlotQueueState = {
    readonly slots: number;
    readonly active: number;
    readonly waiting: readonly WaitingCall[];
    /** Moving average of how long a request holds a slot. */
    readonly serviceMs: number;
    /** Requests that the moving average rests on. */
    readonly samples: number;
    /** The same for each route that was seen. */
    readonly routeServiceMs: ReadonlyMap<string, number>;
};

/** What happens to a request that arrives. */
type Admission =
    | { readonly kind: "start"; readonly state: SlotQueueState; }
    | { readonly kind: "wait"; readonly state: SlotQueueState; }
    | { readonly kind: "refuse"; readonly state: SlotQueueState; readonly retryAfterMs: number; };

/** Requests that can start now, and those that can't end in time any more. */
type Progress = {
    readonly state: SlotQueueState;
    readonly started: readonly number[];
    readonly expired: readonly number[];
};

/** Assumed until requests have ended: a middling request of an ordinary service. */
const INITIAL_SERVICE_MS = 50;

/** Weight of a new sample in the moving averages once there are some: about the last 20 requests count. */
const SERVICE_TIME_WEIGHT = 0.05;

/** Routes of one service whose times are remembered. */
const MAXIMUM_ROUTES = 200;

/** Below this the moving average says little. */
const MINIMUM_SAMPLES = 5;

/** Work varies: a request counts as able to be on time if this many times its usual service time is left. */
const ON_TIME_MARGIN = 1.5;

/**
 * A request that will be late waits at most this part of a service time in all, or until this many slots have become
 * free: its caller does better to come back, and the slots to serve those who can be on time.
 */
const LATE_WAIT_SHARE = 0.5;
const LATE_WAIT_TURNS = 2;

/** Callers come back no sooner than this: one round trip between hosts and some work. */
const MINIMUM_RETRY_AFTER_MS = 20;

const create = (slots: number): SlotQueueState => ({
    slots,
    active: 0,
    waiting: [],
    serviceMs: INITIAL_SERVICE_MS,
    samples: 0,
    routeServiceMs: new Map(),
});

const serviceMsOf = ({ routeServiceMs, serviceMs }: SlotQueueState, { route }: WaitingCall): number =>
    routeServiceMs.get(route) ?? serviceMs;

/** Time until a request that has `ahead` others in front of it gets a slot. */
const expectedWaitMs = ({ active, serviceMs, slots }: SlotQueueState, ahead: number): number =>
    active < slots && ahead === 0 ? 0 : ((Math.max(0, active - slots) + ahead + 1) * serviceMs) / slots;

const canBeOnTime = (state: SlotQueueState, call: WaitingCall, nowMs: number): boolean =>
    nowMs + serviceMsOf(state, call) * ON_TIME_MARGIN <= call.targetAtMs;

const canEndInTime = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number): boolean =>
    nowMs + expectedWaitMs(state, ahead) + serviceMsOf(state, call) <= call.deadlineMs;

/** True if the wait of a request that will be late is short all the same. */
const isShortlyLate = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number): boolean => {
    const wholeWaitMs = nowMs - call.arrivedMs + expectedWaitMs(state, ahead);
    return wholeWaitMs <= state.serviceMs * Math.max(LATE_WAIT_SHARE, LATE_WAIT_TURNS / state.slots);
};

/**
 * True if a request with `ahead` others in front of it may wait: it can be on time if it starts at `startMs`, or is not
 * late for long. While service times are unknown only the deadline counts.
 */
const mayWait = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number, startMs: number): boolean =>
    canEndInTime(state, call, ahead, nowMs)
    && (state.samples < MINIMUM_SAMPLES
        || canBeOnTime(state, call, startMs)
        || isShortlyLate(state, call, ahead, nowMs));

/**
 * Requests that can still be on time come first, so that a backlog of late ones does not make all others late too;
 * then the more urgent; then, of those on time, the one whose target is nearer, and of those late, the one that has
 * more time left.
 */
const ranked = (state: SlotQueueState, calls: readonly WaitingCall[], nowMs: number): readonly WaitingCall[] => {
    const onTime: WaitingCall[] = [];
    const late: WaitingCall[] = [];
    calls.forEach((call) => (canBeOnTime(state, call, nowMs) ? onTime : late).push(call));
    onTime.sort((left, right) => left.priority - right.priority || left.targetAtMs - right.targetAtMs);
    late.sort((left, right) => left.priority - right.priority || right.deadlineMs - left.deadlineMs);
    return [...onTime, ...late];
};

/** Decides on a request that arrives: it starts, waits, or is refused at once because it could not end in time. */
const offer = (state: SlotQueueState, call: WaitingCall, nowMs: number): Admission => {
    if (state.active < state.slots && state.waiting.length === 0) {
        return { kind: "start", state: { ...state, active: state.active + 1 } };
    }
    const waiting = ranked(state, [...state.waiting, call], nowMs);
    const ahead = waiting.indexOf(call);
    const waitMs = expectedWaitMs(state, ahead);
    if (!mayWait(state, call, ahead, nowMs, nowMs + waitMs)) {
        const retryAfterMs = Math.max(MINIMUM_RETRY_AFTER_MS, waitMs);
        return { kind: "refuse", state, retryAfterMs };
    }
    return { kind: "wait", state: { ...state, waiting } };
};

/** Starts what fits into free slots and gives up at once what can't end in time any more. */
const advance = (state: SlotQueueState, nowMs: number): Progress => {
    const started: number[] = [];
    const expired: number[] = [];
    const kept: WaitingCall[] = [];
    let { active } = state;
    for (const call of ranked(state, state.waiting, nowMs)) {
        const present = { ...state, active };
        // What waits already goes once its wait was in vain, but on no mere estimate.
        if (!mayWait(present, call, kept.length, nowMs, nowMs)) {
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

const averaged = (present: number | undefined, sample: number): number =>
    present === undefined ? sample : present + SERVICE_TIME_WEIGHT * (sample - present);

/** Of more routes than are remembered, the one that was learned first is forgotten. */
const remembered = (
    present: ReadonlyMap<string, number>,
    route: string,
    serviceMs: number,
): ReadonlyMap<string, number> => {
    const next = new Map(present).set(route, serviceMs);
    if (next.size > MAXIMUM_ROUTES) {
        next.delete([...next.keys()][0]);
    }
    return next;
};

/** A request has left its slot. `serviceMs` is undefined if its time says nothing about the backend server. */
const release = (
    state: SlotQueueState,
    route: string,
    serviceMs: number | undefined,
    nowMs: number,
): Progress => {
    const left = { ...state, active: Math.max(0, state.active - 1) };
    if (serviceMs === undefined) {
        return advance(left, nowMs);
    }
    const ofRoute = averaged(state.routeServiceMs.get(route), serviceMs);
    const routeServiceMs = remembered(state.routeServiceMs, route, ofRoute);
    const samples = state.samples + 1;
    const weight = Math.max(SERVICE_TIME_WEIGHT, 1 / samples);
    const average = state.serviceMs + weight * (serviceMs - state.serviceMs);
    return advance({ ...left, routeServiceMs, samples, serviceMs: average }, nowMs);
};

/** A waiting request is withdrawn, for example because its caller has left. */
const withdraw = (state: SlotQueueState, key: number): SlotQueueState => ({
    ...state,
    waiting: state.waiting.filter((call) => call.key !== key),
});

const resize = (state: SlotQueueState, slots: number): SlotQueueState => ({ ...state, slots });

/** Admission to the slots of a backend server: what can be on time first, and only what can end at all. */
export const slotQueue = { create, offer, advance, release, withdraw, resize } as const;
