import { ServiceClass } from "../catalogue/ServiceClass";
import { AdmissionState } from "./AdmissionState";

const SERVICE_TIME_WEIGHT = 0.1;
const INITIAL_SERVICE_MS = 5;

/** A request is worked on only if it ends in time even when it takes this many mean deviations longer than usual. */
const LIKELY_DEVIATIONS = 2;
/** Callers whose turn is remembered. The record is copied with every request, so it is kept small. */
const MAXIMUM_CALLERS = 64;

type QueuedRequest = AdmissionState["queue"][number];

/** How many requests may be worked on and may wait. */
type AdmissionLimits = {
    readonly maximumConcurrent: number;
    readonly maximumQueued: number;
};

/** The next state, which waiting requests start now, and which are refused now. */
type Result = {
    readonly state: AdmissionState;
    readonly started: readonly number[];
    readonly refused: readonly number[];
};

const initial: AdmissionState = {
    active: 0,
    queue: [],
    serviceMs: INITIAL_SERVICE_MS,
    deviationMs: 0,
    lastServed: new Map(),
    served: 0,
};

const rankOf: Readonly<Record<ServiceClass, number>> = {
    [ServiceClass.Critical]: 0,
    [ServiceClass.Standard]: 1,
    [ServiceClass.Bulk]: 2,
};

const isBefore = (left: QueuedRequest, right: QueuedRequest, { lastServed }: AdmissionState): boolean => {
    if (left.class !== right.class) {
        return rankOf[left.class] < rankOf[right.class];
    }
    const leftServed = lastServed.get(left.caller) ?? 0;
    const rightServed = lastServed.get(right.caller) ?? 0;
    return leftServed !== rightServed ? leftServed < rightServed : left.id < right.id;
};

/** The waiting request that goes next: the highest class, then the caller that was served longest ago. */
const nextInLine = (state: AdmissionState): QueuedRequest | undefined =>
    state.queue.reduce<QueuedRequest | undefined>(
        (best, request) => (!best || isBefore(request, best, state) ? request : best),
        undefined,
    );

/** The waiting request that gives way first. */
const lastInLine = (state: AdmissionState): QueuedRequest | undefined =>
    state.queue.reduce<QueuedRequest | undefined>(
        (worst, request) => (!worst || isBefore(worst, request, state) ? request : worst),
        undefined,
    );

const without = (state: AdmissionState, id: number): AdmissionState => ({
    ...state,
    queue: state.queue.filter((request) => request.id !== id),
});

const serve = (state: AdmissionState, caller: string): AdmissionState => {
    const served = state.served + 1;
    const lastServed = state.lastServed.size >= MAXIMUM_CALLERS ? new Map<string, number>() : new Map(state.lastServed);
    return { ...state, active: state.active + 1, served, lastServed: lastServed.set(caller, served) };
};

/** Time that all but the slowest requests hold their place, in milliseconds. */
const likelyServiceMs = ({ deviationMs, serviceMs }: AdmissionState): number =>
    serviceMs + LIKELY_DEVIATIONS * deviationMs;

/** Time until a request that joins the queue now can expect to start, in milliseconds. */
const expectedWaitMs = ({ queue, serviceMs }: AdmissionState, { maximumConcurrent }: AdmissionLimits): number =>
    ((queue.length + 1) * serviceMs) / maximumConcurrent;

/** Starts waiting requests while there is room. Those that can't finish in time any more are refused instead. */
const startWaiting = (state: AdmissionState, limits: AdmissionLimits, nowMs: number): Result => {
    let next = state;
    const started: number[] = [];
    const refused: number[] = [];
    while (next.active < limits.maximumConcurrent) {
        const request = nextInLine(next);
        if (!request) {
            break;
        }
        next = without(next, request.id);
        if (request.deadlineMs - nowMs < likelyServiceMs(state)) {
            refused.push(request.id);
            continue;
        }
        next = serve(next, request.caller);
        started.push(request.id);
    }
    return { state: next, started, refused };
};

/** A request arrives: it starts, waits, or one request of the queue is refused for it. */
const arrive = (
    state: AdmissionState,
    request: QueuedRequest,
    limits: AdmissionLimits,
    nowMs: number,
): Result => {
    if (state.active < limits.maximumConcurrent && state.queue.length === 0) {
        return { state: serve(state, request.caller), started: [request.id], refused: [] };
    }
    if (nowMs + expectedWaitMs(state, limits) + likelyServiceMs(state) > request.deadlineMs) {
        return { state, started: [], refused: [request.id] };
    }
    const queued = { ...state, queue: [...state.queue, request] };
    if (queued.queue.length <= limits.maximumQueued) {
        return { state: queued, started: [], refused: [] };
    }
    const worst = lastInLine(queued) ?? request;
    return { state: without(queued, worst.id), started: [], refused: [worst.id] };
};

/** A request is done after `elapsedMs`. */
const finish = (state: AdmissionState, elapsedMs: number, limits: AdmissionLimits, nowMs: number): Result => {
    const distanceMs = elapsedMs - state.serviceMs;
    const serviceMs = state.serviceMs + SERVICE_TIME_WEIGHT * distanceMs;
    const deviationMs = state.deviationMs + SERVICE_TIME_WEIGHT * (Math.abs(distanceMs) - state.deviationMs);
    return startWaiting({ ...state, active: Math.max(0, state.active - 1), serviceMs, deviationMs }, limits, nowMs);
};

/** A waiting request is given up by its caller. */
const abandon = (state: AdmissionState, id: number): AdmissionState => without(state, id);

/** A short, deadline-aware queue in front of a bounded number of places, fair between callers and classes. */
export const admissions = { initial, arrive, finish, abandon, expectedWaitMs } as const;
