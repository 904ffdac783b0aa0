import { ServiceClass } from "../catalogue/ServiceClass";
import { AdmissionState } from "./AdmissionState";

const SERVICE_TIME_SMOOTHING = 0.1;
const INITIAL_SERVICE_MS = 5;

/**
 * A request that can't start at once is refused if it would miss its deadline with a service time this many mean
 * absolute deviations above the mean.
 */
const SERVICE_TIME_DEVIATIONS = 2;

/** Bounds `lastStarted`, which is copied for every request. It is cleared when it reaches this size. */
const MAXIMUM_TRACKED_CALLERS = 64;

type QueuedRequest = AdmissionState["queue"][number];

/** The highest numbers of running and of queued requests. */
type AdmissionLimits = {
    readonly maximumConcurrent: number;
    readonly maximumQueued: number;
};

/** The next state and the ids of the requests that start or are refused now. */
type AdmissionDecision = {
    readonly state: AdmissionState;
    readonly started: readonly number[];
    readonly refused: readonly number[];
};

const initial: AdmissionState = {
    active: 0,
    queue: [],
    serviceMs: INITIAL_SERVICE_MS,
    deviationMs: 0,
    lastStarted: new Map(),
    startedCount: 0,
};

/** Lower ranks start first. */
const classRank: Readonly<Record<ServiceClass, number>> = {
    [ServiceClass.Critical]: 0,
    [ServiceClass.Standard]: 1,
    [ServiceClass.Bulk]: 2,
};

const precedes = (left: QueuedRequest, right: QueuedRequest, { lastStarted }: AdmissionState): boolean => {
    if (left.class !== right.class) {
        return classRank[left.class] < classRank[right.class];
    }
    const leftStarted = lastStarted.get(left.caller) ?? 0;
    const rightStarted = lastStarted.get(right.caller) ?? 0;
    return leftStarted !== rightStarted ? leftStarted < rightStarted : left.id < right.id;
};

/** The queued request to start next: the highest class first, then the caller whose last start is longest ago. */
const firstQueued = (state: AdmissionState): QueuedRequest | undefined =>
    state.queue.reduce<QueuedRequest | undefined>(
        (best, request) => (!best || precedes(request, best, state) ? request : best),
        undefined,
    );

/** The queued request to refuse first when the queue is full. */
const lastQueued = (state: AdmissionState): QueuedRequest | undefined =>
    state.queue.reduce<QueuedRequest | undefined>(
        (worst, request) => (!worst || precedes(worst, request, state) ? request : worst),
        undefined,
    );

const removeQueued = (state: AdmissionState, id: number): AdmissionState => ({
    ...state,
    queue: state.queue.filter((request) => request.id !== id),
});

const startRequest = (state: AdmissionState, caller: string): AdmissionState => {
    const startedCount = state.startedCount + 1;
    const lastStarted = state.lastStarted.size >= MAXIMUM_TRACKED_CALLERS
        ? new Map<string, number>()
        : new Map(state.lastStarted);
    return { ...state, active: state.active + 1, startedCount, lastStarted: lastStarted.set(caller, startedCount) };
};

/** Upper estimate of the service time, which only the slowest requests exceed, in milliseconds. */
const conservativeServiceMs = ({ deviationMs, serviceMs }: AdmissionState): number =>
    serviceMs + SERVICE_TIME_DEVIATIONS * deviationMs;

/** Expected time until a request that joins the queue now starts, in milliseconds. */
const expectedWaitMs = ({ queue, serviceMs }: AdmissionState, { maximumConcurrent }: AdmissionLimits): number =>
    ((queue.length + 1) * serviceMs) / maximumConcurrent;

/** Starts queued requests up to the limit. Those that can no longer meet their deadline are refused instead. */
const startQueued = (state: AdmissionState, limits: AdmissionLimits, nowMs: number): AdmissionDecision => {
    let next = state;
    const started: number[] = [];
    const refused: number[] = [];
    while (next.active < limits.maximumConcurrent) {
        const request = firstQueued(next);
        if (!request) {
            break;
        }
        next = removeQueued(next, request.id);
        if (request.deadlineMs - nowMs < conservativeServiceMs(state)) {
            refused.push(request.id);
            continue;
        }
        next = startRequest(next, request.caller);
        started.push(request.id);
    }
    return { state: next, started, refused };
};

/**
 * Adds a request: it starts, is queued, or is refused because it would miss its deadline. If the queue is full, the
 * queued request of the lowest priority is refused, which may be the new one.
 */
const arrive = (
    state: AdmissionState,
    request: QueuedRequest,
    limits: AdmissionLimits,
    nowMs: number,
): AdmissionDecision => {
    if (state.active < limits.maximumConcurrent && state.queue.length === 0) {
        return { state: startRequest(state, request.caller), started: [request.id], refused: [] };
    }
    if (nowMs + expectedWaitMs(state, limits) + conservativeServiceMs(state) > request.deadlineMs) {
        return { state, started: [], refused: [request.id] };
    }
    const queued = { ...state, queue: [...state.queue, request] };
    if (queued.queue.length <= limits.maximumQueued) {
        return { state: queued, started: [], refused: [] };
    }
    const worst = lastQueued(queued) ?? request;
    return { state: removeQueued(queued, worst.id), started: [], refused: [worst.id] };
};

/** True if a request that starts now, or once the queue is empty, most likely ends by `endMs`. */
const canEndBy = (state: AdmissionState, endMs: number, limits: AdmissionLimits, nowMs: number): boolean => {
    const isFree = state.active < limits.maximumConcurrent && state.queue.length === 0;
    return nowMs + (isFree ? 0 : expectedWaitMs(state, limits)) + state.serviceMs <= endMs;
};

/** Ends a running request after a service time of `elapsedMs` and starts queued ones in its place. */
const finish = (
    state: AdmissionState,
    elapsedMs: number,
    limits: AdmissionLimits,
    nowMs: number,
): AdmissionDecision => {
    const distanceMs = elapsedMs - state.serviceMs;
    const serviceMs = state.serviceMs + SERVICE_TIME_SMOOTHING * distanceMs;
    const deviationMs = state.deviationMs + SERVICE_TIME_SMOOTHING * (Math.abs(distanceMs) - state.deviationMs);
    return startQueued({ ...state, active: Math.max(0, state.active - 1), serviceMs, deviationMs }, limits, nowMs);
};

/** Removes a queued request that its caller has cancelled. */
const cancel = (state: AdmissionState, id: number): AdmissionState => removeQueued(state, id);

/**
 * Pure state transitions of a bounded, deadline-aware queue in front of a concurrency limit. Higher service classes
 * start first, and callers of the same class take turns.
 */
export const admissionQueue = { initial, arrive, finish, cancel, canEndBy, expectedWaitMs } as const;
