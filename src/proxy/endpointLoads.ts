import { AttemptOutcome } from "./AttemptOutcome";
import { EndpointLoad } from "./EndpointLoad";

const LATENCY_SMOOTHING = 0.1;
const FAILURE_SMOOTHING = 0.1;
const FAILURES_BEFORE_EJECTION = 5;
const BASE_EJECTION_MS = 1_000;
const MAXIMUM_EJECTION_MS = 30_000;

/** After a refusal the endpoint is avoided for this time. */
const REFUSAL_BACKOFF_MS = 50;

const failureOutcomes: ReadonlySet<AttemptOutcome> = new Set([
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

/** Moves an exponentially weighted average towards a sample. */
const smooth = (average: number, sample: number, weight: number): number => average + weight * (sample - average);

/** Ejects an endpoint after repeated failures, for twice as long each time. */
const ejectIfFailing = (load: EndpointLoad, nowMs: number): EndpointLoad => {
    if (load.consecutiveFailures < FAILURES_BEFORE_EJECTION || nowMs < load.ejectedUntilMs) {
        return load;
    }
    const ejectionMs = Math.min(MAXIMUM_EJECTION_MS, BASE_EJECTION_MS * 2 ** load.ejections);
    return { ...load, ejections: load.ejections + 1, ejectedUntilMs: nowMs + ejectionMs };
};

/** Records the end of an attempt. Failures don't change the latency, so that failing fast attracts no requests. */
const end = (load: EndpointLoad, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): EndpointLoad => {
    const outstanding = Math.max(0, load.outstanding - 1);
    if (outcome === AttemptOutcome.Cancelled) {
        return { ...load, outstanding };
    }
    if (outcome === AttemptOutcome.NotRun) {
        return { ...load, outstanding, refusedUntilMs: nowMs + REFUSAL_BACKOFF_MS };
    }
    if (failureOutcomes.has(outcome)) {
        const failureShare = smooth(load.failureShare, 1, FAILURE_SMOOTHING);
        const consecutiveFailures = load.consecutiveFailures + 1;
        return ejectIfFailing({ ...load, outstanding, failureShare, consecutiveFailures }, nowMs);
    }
    return {
        ...load,
        outstanding,
        latencyMs: load.latencyMs === undefined ? elapsedMs : smooth(load.latencyMs, elapsedMs, LATENCY_SMOOTHING),
        failureShare: smooth(load.failureShare, 0, FAILURE_SMOOTHING),
        consecutiveFailures: 0,
        ejections: 0,
    };
};

/** State transitions of an endpoint's load and health at the start and end of an attempt. */
export const endpointLoads = { initial, begin, end } as const;
