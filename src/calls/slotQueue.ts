import { servedShares } from "./servedShares";
import { serviceTimes } from "./serviceTimes";
import { startLimits } from "./startLimits";
import { urgentLoad } from "./urgentLoad";

/** A request that waits for a slot of the backend server. Times are those of the node's monotonic clock. */
type WaitingCall = {
    readonly key: number;
    /** Service times are averaged by route, since requests of one route take similar time. */
    readonly route: string;
    /** 0 is the most urgent. A nested request has the priority of the one that it is made for. */
    readonly priority: number;
    readonly arrivedMs: number;
    /** Responses after this are late. */
    readonly targetAtMs: number;
    readonly deadlineMs: number;
    /** After this a response reaches nobody, since a node on its way ends; undefined while none of them stops. */
    readonly answerByMs?: number;
    /** True if no other backend server is asked for the response. */
    readonly isLastAttempt?: boolean;
    /** True if a backend server needs the response for a request that it runs, and no other one is asked for it. */
    readonly isLastNested?: boolean;
    /** For nested requests, the turn of the host that makes them, see `callerTurn`. */
    readonly turn?: number;
};

/** The slots of one backend server and the requests that wait for them. */
type SlotQueueState = typeof serviceTimes.initial & {
    readonly slots: number;
    readonly active: number;
    readonly waiting: readonly WaitingCall[];
    /** True if a slot is kept for a health check, which is due or runs. */
    readonly isChecking: boolean;
    readonly limits: typeof startLimits.none;
    readonly urgent: typeof urgentLoad.empty;
    readonly shares: typeof servedShares.empty;
};

/** What happens to a request that arrives. */
type Admission =
    | { readonly kind: "start"; readonly state: SlotQueueState; }
    | { readonly kind: "wait"; readonly state: SlotQueueState; }
    | {
        readonly kind: "refuse";
        readonly state: SlotQueueState;
        readonly retryAfterMs: number;
        /** True if the request could be served, were it not for the end of a node. */
        readonly isForStop: boolean;
    };

/** Keys of the requests to start now, and of those to give up because they can't be served in time any more. */
type Progress = {
    readonly state: SlotQueueState;
    readonly started: readonly number[];
    readonly expired: readonly number[];
};

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
    ...serviceTimes.initial,
    isChecking: false,
    limits: startLimits.none,
    urgent: urgentLoad.empty,
    shares: servedShares.empty,
});

const serviceMsOf = ({ routeServiceMs, serviceMs }: SlotQueueState, { route }: WaitingCall): number =>
    routeServiceMs.get(route) ?? serviceMs;

/**
 * Nested requests that can't be tried elsewhere go first and may be late: a refusal would waste the work of the request
 * that needs them.
 */
const nestedRank = ({ isLastNested }: WaitingCall): number => (isLastNested === true ? 0 : 1);

/** Slots that requests or a health check hold. */
const usedSlots = ({ active, isChecking }: SlotQueueState): number => active + (isChecking ? 1 : 0);

const slotWaitMs = (state: SlotQueueState, ahead: number): number => {
    const { serviceMs, slots } = state;
    const used = usedSlots(state);
    return used < slots && ahead === 0 ? 0 : ((Math.max(0, used - slots) + ahead + 1) * serviceMs) / slots;
};

/** Expected time until a request with `ahead` others in front of it gets a slot and the limits allow it. */
const expectedWaitMs = (state: SlotQueueState, ahead: number, nowMs: number): number =>
    Math.max(
        slotWaitMs(state, ahead),
        startLimits.expectedWaitMs(state.limits, ahead, state.serviceMs, nowMs),
    );

/**
 * The same for a request that would wait until its deadline: more urgent ones that arrive in that time start before it.
 */
const expectedLongWaitMs = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number): number =>
    expectedWaitMs(state, ahead, nowMs)
    / (1 - urgentLoad.shareBefore(state.urgent, call.priority, state.slots, nowMs));

const mayStart = (state: SlotQueueState, nowMs: number): boolean =>
    usedSlots(state) < state.slots && startLimits.waitMs(state.limits, 0, nowMs) === 0;

/**
 * True if it is the turn of the host that makes a nested request: of the requests of a starved route, those of a part of
 * the hosts go first. A request that makes several calls fails if one of them does, so they should fare alike.
 */
const hasTurn = ({ shares }: SlotQueueState, { turn }: WaitingCall): boolean =>
    turn !== undefined && turn < servedShares.minimumShare(shares);

/** True if the request goes before all others, since its route is starved. */
const goesFirst = (state: SlotQueueState, call: WaitingCall, nowMs: number): boolean =>
    (call.turn === undefined || hasTurn(state, call)) && servedShares.isStarved(state.shares, call.route, nowMs);

/** Counts how a request ended. Those that have their turn do not tell whether their route is starved. */
const recordShare = (state: SlotQueueState, call: WaitingCall, isServed: boolean, nowMs: number) =>
    servedShares.record(state.shares, hasTurn(state, call) ? undefined : call.route, isServed, nowMs);

const start = (state: SlotQueueState, call: WaitingCall, nowMs: number): SlotQueueState => ({
    ...state,
    active: state.active + 1,
    limits: startLimits.take(state.limits, nowMs),
    urgent: urgentLoad.record(state.urgent, call.priority, serviceMsOf(state, call), nowMs),
    shares: recordShare(state, call, true, nowMs),
});

const canBeOnTime = (state: SlotQueueState, call: WaitingCall, nowMs: number): boolean =>
    nowMs + serviceMsOf(state, call) * ON_TIME_MARGIN <= call.targetAtMs;

const canMeetDeadline = (state: SlotQueueState, call: WaitingCall, ahead: number, nowMs: number): boolean => {
    const waitMs = call.isLastNested === true && !goesFirst(state, call, nowMs)
        ? expectedLongWaitMs(state, call, ahead, nowMs)
        : expectedWaitMs(state, ahead, nowMs);
    return nowMs + waitMs + serviceMsOf(state, call) <= call.deadlineMs;
};

/** True if the request can be answered before a node on its way ends, as far as its service time is known. */
const canBeAnswered = (state: SlotQueueState, call: WaitingCall, waitMs: number, nowMs: number): boolean => {
    if (call.answerByMs === undefined) {
        return true;
    }
    const isKnown = state.samples >= MINIMUM_SAMPLES || state.routeServiceMs.has(call.route);
    return nowMs + waitMs + (isKnown ? serviceMsOf(state, call) : 0) <= call.answerByMs;
};

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
    canBeAnswered(state, call, expectedWaitMs(state, ahead, nowMs), nowMs)
    && canMeetDeadline(state, call, ahead, nowMs)
    && (state.samples < MINIMUM_SAMPLES
        || canBeOnTime(state, call, startMs)
        || call.isLastNested === true
        || isBrieflyLate(state, call, ahead, nowMs));

/**
 * Sorts requests that can still be on time before late ones, so that a backlog of late requests does not make all others
 * late too; then by priority; then those on time by the nearest target, and those late by the most time left. Nested
 * requests at their last attempt count as on time and go first within their priority. Requests of starved routes go before
 * all others, so that each kind gets some of the slots while they are short.
 */
const byUrgency = (state: SlotQueueState, calls: readonly WaitingCall[], nowMs: number): readonly WaitingCall[] => {
    const starved: WaitingCall[] = [];
    const onTime: WaitingCall[] = [];
    const late: WaitingCall[] = [];
    for (const call of calls) {
        const isOnTime = call.isLastNested === true || canBeOnTime(state, call, nowMs);
        const isFirst = isOnTime && goesFirst(state, call, nowMs);
        (isFirst ? starved : isOnTime ? onTime : late).push(call);
    }
    starved.sort((left, right) => left.priority - right.priority || left.targetAtMs - right.targetAtMs);
    onTime.sort((left, right) =>
        left.priority - right.priority || nestedRank(left) - nestedRank(right) || left.targetAtMs - right.targetAtMs
    );
    late.sort((left, right) => left.priority - right.priority || right.deadlineMs - left.deadlineMs);
    return [...starved, ...onTime, ...late];
};

/** Records that a request was refused. If it counted as late on arrival, the cause is the average of its route. */
const recordRefusal = (state: SlotQueueState, call: WaitingCall, nowMs: number): SlotQueueState => {
    const isLateAtArrival = call.targetAtMs > call.arrivedMs && !canBeOnTime(state, call, call.arrivedMs);
    return {
        ...state,
        ...(isLateAtArrival && serviceTimes.doubt(state, call.route)),
        ...(call.isLastAttempt === true && { shares: recordShare(state, call, false, nowMs) }),
    };
};

/**
 * Decides on a request that arrives: it starts, waits, or is refused at once because it could not be served in time.
 */
const offer = (state: SlotQueueState, call: WaitingCall, nowMs: number): Admission => {
    if (state.waiting.length === 0 && mayStart(state, nowMs)) {
        return canBeAnswered(state, call, 0, nowMs)
            ? { kind: "start", state: start(state, call, nowMs) }
            : { kind: "refuse", state, retryAfterMs: MINIMUM_RETRY_AFTER_MS, isForStop: true };
    }
    const waiting = byUrgency(state, [...state.waiting, call], nowMs);
    const ahead = waiting.indexOf(call);
    const waitMs = expectedWaitMs(state, ahead, nowMs);
    if (!canBeAnswered(state, call, waitMs, nowMs)) {
        return { kind: "refuse", state, retryAfterMs: MINIMUM_RETRY_AFTER_MS, isForStop: true };
    }
    if (!mayWait(state, call, ahead, nowMs, nowMs + waitMs)) {
        const earliestMs = Math.max(MINIMUM_RETRY_AFTER_MS, waitMs);
        const promise = startLimits.promise(state.limits, earliestMs, nowMs);
        const refused = recordRefusal(state, call, nowMs);
        return {
            kind: "refuse",
            state: { ...refused, limits: promise.limits },
            retryAfterMs: promise.retryAfterMs,
            isForStop: false,
        };
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
            current = recordRefusal(current, call, nowMs);
        }
        else if (mayStart(current, nowMs)) {
            current = start(current, call, nowMs);
            started.push(call.key);
        }
        else {
            kept.push(call);
        }
    }
    return { state: { ...current, waiting: kept }, started, expired };
};

/** Frees a slot. `serviceMs` is undefined if the time that the request took says nothing about the backend server. */
const release = (
    state: SlotQueueState,
    route: string,
    serviceMs: number | undefined,
    nowMs: number,
): Progress => {
    const freed = { ...state, active: Math.max(0, state.active - 1) };
    return advance(
        serviceMs === undefined ? freed : { ...freed, ...serviceTimes.record(state, route, serviceMs) },
        nowMs,
    );
};

/** Removes a waiting request, for example because its caller has disconnected. */
const withdraw = (state: SlotQueueState, key: number): SlotQueueState => ({
    ...state,
    waiting: state.waiting.filter((call) => call.key !== key),
});

/** Sets the time by which a waiting request must be answered, unless it has an earlier one. */
const limitAnswer = (state: SlotQueueState, key: number, answerByMs: number): SlotQueueState => ({
    ...state,
    waiting: state.waiting.map((call) =>
        call.key === key ? { ...call, answerByMs: Math.min(answerByMs, call.answerByMs ?? answerByMs) } : call
    ),
});

const resize = (state: SlotQueueState, slots: number): SlotQueueState => ({ ...state, slots });

/** Keeps a slot for a health check, or gives it back. A request that holds it finishes first. */
const keepForCheck = (state: SlotQueueState, isChecking: boolean): SlotQueueState => ({ ...state, isChecking });

/** True if a health check can begin now in the slot that is kept for it. */
const hasCheckSlot = ({ active, isChecking, slots }: SlotQueueState): boolean => isChecking && active < slots;

const changeLimits = (state: SlotQueueState, limits: typeof startLimits.none): SlotQueueState => ({ ...state, limits });

/** Time until the limits allow the next waiting request to start; undefined if none waits for that. */
const nextStartMs = (state: SlotQueueState, nowMs: number): number | undefined => {
    const { limits, slots, waiting } = state;
    return waiting.length > 0 && (limits.stated ?? limits.cold) && usedSlots(state) < slots
        ? startLimits.waitMs(limits, 0, nowMs)
        : undefined;
};

/**
 * Returns the interval at which each of several nodes may send requests, so that all together keep to the limits;
 * undefined without a limit.
 */
const pacingMs = ({ limits, waiting }: SlotQueueState, nodes: number, nowMs: number): number | undefined =>
    startLimits.pacingMs(limits, waiting.length + nodes, nowMs);

/** True if a request that can't start now is held back by a limit rather than by the slots. */
const isLimited = (state: SlotQueueState, nowMs: number): boolean => {
    const ahead = state.waiting.length;
    return startLimits.waitMs(state.limits, ahead, nowMs) > slotWaitMs(state, ahead);
};

/**
 * Admits requests to the slots of a backend server: those that can be on time first, none that can't meet the deadline,
 * and no more than the limits on the rate of requests allow.
 */
export const slotQueue = {
    create,
    serviceMsOf,
    offer,
    advance,
    release,
    withdraw,
    limitAnswer,
    resize,
    keepForCheck,
    hasCheckSlot,
    changeLimits,
    nextStartMs,
    pacingMs,
    isLimited,
} as const;
