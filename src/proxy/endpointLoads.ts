import { AttemptOutcome } from "./AttemptOutcome";
import { EndpointLoad } from "./EndpointLoad";

const LATENCY_WEIGHT = 0.1;
const FAILURE_WEIGHT = 0.1;
const FAILURES_BEFORE_EJECTION = 5;
const EJECTION_BASE_MS = 1_000;
const EJECTION_LIMIT_MS = 30_000;
const REFUSAL_PAUSE_MS = 50;

const failures: ReadonlySet<AttemptOutcome> = new Set([
    AttemptOutcome.Failed,
    AttemptOutcome.Unreachable,
    AttemptOutcome.Broken,
    AttemptOutcome.TimedOut,
]);

const initial = (nowMs: number): EndpointLoad => ({
    outstanding: 0,
    latencyMs: undefined,
    failureShare: 0,
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: 0,
    refusedUntilMs: 0,
    firstSeenMs: nowMs,
});

const begin = (load: EndpointLoad): EndpointLoad => ({ ...load, outstanding: load.outstanding + 1 });

const blend = (present: number, sample: number, weight: number): number => present + weight * (sample - present);

const eject = (load: EndpointLoad, nowMs: number): EndpointLoad => {
    if (load.consecutiveFailures < FAILURES_BEFORE_EJECTION || nowMs < load.ejectedUntilMs) {
        return load;
    }
    const pauseMs = Math.min(EJECTION_LIMIT_MS, EJECTION_BASE_MS * 2 ** load.ejections);
    return { ...load, ejections: load.ejections + 1, ejectedUntilMs: nowMs + pauseMs };
};

/** Notes the end of an attempt. A quick failure leaves the latency as it is, so that failing fast attracts no load. */
const end = (load: EndpointLoad, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): EndpointLoad => {
    const outstanding = Math.max(0, load.outstanding - 1);
    if (outcome === AttemptOutcome.Cancelled) {
        return { ...load, outstanding };
    }
    if (outcome === AttemptOutcome.NotRun) {
        return { ...load, outstanding, refusedUntilMs: nowMs + REFUSAL_PAUSE_MS };
    }
    if (failures.has(outcome)) {
        const failureShare = blend(load.failureShare, 1, FAILURE_WEIGHT);
        const consecutiveFailures = load.consecutiveFailures + 1;
        return eject({ ...load, outstanding, failureShare, consecutiveFailures }, nowMs);
    }
    return {
        ...load,
        outstanding,
        latencyMs: load.latencyMs === undefined ? elapsedMs : blend(load.latencyMs, elapsedMs, LATENCY_WEIGHT),
        failureShare: blend(load.failureShare, 0, FAILURE_WEIGHT),
        consecutiveFailures: 0,
        ejections: 0,
    };
};

/** Keeps account of a backend server's load from the node's own evidence. */
export const endpointLoads = { initial, begin, end } as const;
