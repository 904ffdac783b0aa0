import { tokenBucket } from "./tokenBucket";

/** A request that waits for a slot of the backend server. Times are those of the node's monotonic clock. */
type WaitingCall = {
    readonly key: number;
    /** Service times are averaged by route, since requests of one route take similar time. */
    readonly route: string;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly arrivedMs: number;
    /** Responses after this are late. */
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
    /** Number of requests in the moving average. */
    readonly samples: number;
    /** The same moving average by route. */
    readonly routeServiceMs: ReadonlyMap<string, number>;
    /** Undefined while the backend server states no limit of requests a second. */
    readonly bucket: ReturnType<typeof tokenBucket.create> | undefined;
};

/** What happens to a request that arrives. */
type Admission =
    | { readonly kind: "start"; readonly state: SlotQueueState; }
    | { readonly kind: "wait"; readonly state: SlotQueueState; }
    | { readonly kind: "refuse"; readonly state: SlotQueueState; readonly retryAfterMs: number; };

/** Keys of the requests to start now, and of those to give up because they can't be served in time any more. */
type Progress = {
    readonly state: SlotQueueState;
    readonly started: readonly number[];
    readonly expired: readonly number[];
};

/** Assumed until requests have finished: a medium request of an ordinary service. */
const INITIAL_SERVICE_MS = 50;

/** Least weight of a new sample in the moving averages: about the last 20 requests count. */
const SERVICE_TIME_WEIGHT = 0.05;

/** Limit of the routes of one service whose service times are kept. */
const MAXIMUM_ROUTES = 200;

/** Samples needed before the moving average is relied on. */
const MINIMUM_SAMPLES = 5;

/** Service times vary: a request can be on time if this many times its average service time is left. */
const ON_TIME_MARGIN = 1.5;

/**
 * A request that will be late waits at most this share of a service time in all, or the time in which this many slots
 * become free, whichever is longer. Beyond that its caller does better to retry, and the slots serve requests that can
 * be on time.
 */
const LATE_WAIT_SHARE = 0.5;
const LATE_WAIT_SLOTS = 2;

/** Least retry-after time: one round trip between hosts and some work. */
const MINIMUM_RETRY_AFTER_MS = 20;

const create = (slots: number): SlotQueueState => ({
    slots,
    active: 0,
    waiting: [],
    serviceMs: INITIAL_SERVICE_MS,
    samples: 0,
    routeServiceMs: new Map(),
    bucket: undefined,
});

const serviceMsOf = ({ routeServiceMs, serviceMs }: SlotQueueState, { route }: WaitingCall): number =>
    routeServiceMs.get(route) ?? serviceMs;

const slotWaitMs = ({ active, serviceMs, slots }: SlotQueueState, ahead: number): number =>
    active < slots && ahead === 0 ? 0 : ((Math.max(0, active - slots) + ahead + 1) * serviceMs) / slots;

/** Time until the limit allows a request with `ahead` others in front of it. */
const limitWaitMs = ({ bucket }: SlotQueueState, ahead: number, nowMs: number): number =>
    bucket ? tokenBucket.waitMs(bucket, ahead + 1, nowMs) : 0;

/** Expected time until a request with `ahead` others in front of it gets a slot and the limit allows it. */
const expectedWaitMs = (state: SlotQueueState, ahead: number, nowMs: number): number =>
    Math.max(slotWaitMs(state, ahead), limitWaitMs(state, ahead, nowMs));

const mayStart = (state: SlotQueueState, nowMs: number): boolean =>
    state.active < state.slots && limitWaitMs(state, 0, nowMs) === 0;

const start = (state: SlotQueueState, nowMs: number): SlotQueueState => ({
    ...state,
    active: state.active + 1,
    bucket: state.bucket && tokenBucket.take(state.bucket, nowMs),
});

const canBeOnTime = (state: SlotQueueState, call: WaitingCall, nowMs: number): boolean =>
    nowMs + serviceMsOf(state, call) * ON_TIME_MARGIN <= call.targetAtMs;

const canMeetDeadline = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number): boolean =>
    nowMs + expectedWaitMs(state, ahead, nowMs) + serviceMsOf(state, call) <= call.deadlineMs;

/** True if a request that will be late waits only briefly. */
const isBrieflyLate = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number): boolean => {
    const totalWaitMs = nowMs - call.arrivedMs + expectedWaitMs(state, ahead, nowMs);
    return totalWaitMs <= state.serviceMs * Math.max(LATE_WAIT_SHARE, LATE_WAIT_SLOTS / state.slots);
};

/**
 * True if a request with `ahead` others in front of it may wait: it can be on time if it starts at `startMs`, or waits
 * only briefly. While service times are unknown, only the deadline counts.
 */
const mayWait = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number, startMs: number): boolean =>
    canMeetDeadline(state, call, ahead, nowMs)
    && (state.samples < MINIMUM_SAMPLES
        || canBeOnTime(state, call, startMs)
        || isBrieflyLate(state, call, ahead, nowMs));

/**
 * Sorts requests that can still be on time before late ones, so that a backlog of late requests does not make all
 * others late too; then by priority; then those on time by the nearest target, and those late by the most time left.
 */
const byUrgency = (state: SlotQueueState, calls: readonly WaitingCall[], nowMs: number): readonly WaitingCall[] => {
    const onTime: WaitingCall[] = [];
    const late: WaitingCall[] = [];
    calls.forEach((call) => (canBeOnTime(state, call, nowMs) ? onTime : late).push(call));
    onTime.sort((left, right) => left.priority - right.priority || left.targetAtMs - right.targetAtMs);
    late.sort((left, right) => left.priority - right.priority || right.deadlineMs - left.deadlineMs);
    return [...onTime, ...late];
};

/**
 * Decides on a request that arrives: it starts, waits, or is refused at once because it could not be served in time.
 */
const offer = (state: SlotQueueState, call: WaitingCall, nowMs: number): Admission => {
    if (state.waiting.length === 0 && mayStart(state, nowMs)) {
        return { kind: "start", state: start(state, nowMs) };
    }
    const waiting = byUrgency(state, [...state.waiting, call], nowMs);
    const ahead = waiting.indexOf(call);
    const waitMs = expectedWaitMs(state, ahead, nowMs);
    if (!mayWait(state, call, ahead, nowMs, nowMs + waitMs)) {
        const retryAfterMs = Math.max(MINIMUM_RETRY_AFTER_MS, waitMs);
        return { kind: "refuse", state, retryAfterMs };
    }
    return { kind: "wait", state: { ...state, waiting } };
};

/** Starts requests in free slots as the limit allows, and gives up those that can't be served in time any more. */
const advance = (state: SlotQueueState, nowMs: number): Progress => {
    const started: number[] = [];
    const expired: number[] = [];
    const kept: WaitingCall[] = [];
    let current = state;
    for (const call of byUrgency(state, state.waiting, nowMs)) {
        // The target of a waiting request is checked as if it started now, so that it does not count as late only
        // because of an estimate of its wait.
        if (!mayWait(current, call, kept.length, nowMs, nowMs)) {
            expired.push(call.key);
        }
        else if (mayStart(current, nowMs)) {
            current = start(current, nowMs);
            started.push(call.key);
        }
        else {
            kept.push(call);
        }
    }
    return { state: { ...current, waiting: kept }, started, expired };
};

const movingAverage = (current: number | undefined, sample: number): number =>
    current === undefined ? sample : current + SERVICE_TIME_WEIGHT * (sample - current);

/** Stores the service time of a route. Beyond the limit, the route that was added first is removed. */
const withRouteTime = (
    current: ReadonlyMap<string, number>,
    route: string,
    serviceMs: number,
): ReadonlyMap<string, number> => {
    const next = new Map(current).set(route, serviceMs);
    if (next.size > MAXIMUM_ROUTES) {
        next.delete([...next.keys()][0]);
    }
    return next;
};

/** Frees a slot. `serviceMs` is undefined if the time that the request took says nothing about the backend server. */
const release = (
    state: SlotQueueState,
    route: string,
    serviceMs: number | undefined,
    nowMs: number,
): Progress => {
    const freed = { ...state, active: Math.max(0, state.active - 1) };
    if (serviceMs === undefined) {
        return advance(freed, nowMs);
    }
    const routeAverageMs = movingAverage(state.routeServiceMs.get(route), serviceMs);
    const routeServiceMs = withRouteTime(state.routeServiceMs, route, routeAverageMs);
    const samples = state.samples + 1;
    const weight = Math.max(SERVICE_TIME_WEIGHT, 1 / samples);
    const average = state.serviceMs + weight * (serviceMs - state.serviceMs);
    return advance({ ...freed, routeServiceMs, samples, serviceMs: average }, nowMs);
};

/** Removes a waiting request, for example because its caller has disconnected. */
const withdraw = (state: SlotQueueState, key: number): SlotQueueState => ({
    ...state,
    waiting: state.waiting.filter((call) => call.key !== key),
});

const resize = (state: SlotQueueState, slots: number): SlotQueueState => ({ ...state, slots });

/** Applies the limit of requests a second that the backend server states, undefined for none. */
const limit = (state: SlotQueueState, limitPerSecond: number | undefined, nowMs: number): SlotQueueState => {
    if (limitPerSecond === undefined) {
        return { ...state, bucket: undefined };
    }
    const { bucket } = state;
    return {
        ...state,
        bucket: bucket
            ? tokenBucket.changeLimit(bucket, limitPerSecond, nowMs)
            : tokenBucket.create(limitPerSecond, nowMs),
    };
};

/** Time until the limit allows the next waiting request to start; undefined if none waits for that. */
const nextStartMs = (state: SlotQueueState, nowMs: number): number | undefined =>
    state.waiting.length > 0 && state.bucket && state.active < state.slots ? limitWaitMs(state, 0, nowMs) : undefined;

/**
 * Returns the interval at which each of several nodes may send requests, so that all together keep to the limit;
 * undefined without a limit.
 */
const pacingMs = ({ bucket, waiting }: SlotQueueState, nodes: number, nowMs: number): number | undefined =>
    bucket && tokenBucket.waitMs(bucket, waiting.length + nodes, nowMs);

/**
 * Admits requests to the slots of a backend server: those that can be on time first, none that can't meet the deadline,
 * and no more than the limit that the backend server states.
 */
export const slotQueue = { create, offer, advance, release, withdraw, resize, limit, nextStartMs, pacingMs } as const;
