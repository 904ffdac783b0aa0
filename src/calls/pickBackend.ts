import { RandomSource } from "../core/RandomSource";
import { BackendView } from "./BackendView";
import { estimateLatency } from "./estimateLatency";
import { isInBackoff } from "./isInBackoff";
import { RoutableBackend } from "./RoutableBackend";
import { ZonedBackends } from "./ZonedBackends";

/** Input for the choice of a backend server. */
type PickInput = {
    readonly backends: ZonedBackends;
    readonly viewOf: (backend: RoutableBackend) => BackendView;
    /** Nodes at which this request was already attempted. */
    readonly tried: ReadonlySet<string>;
    readonly nowMs: number;
    /** Time from now until a response counts as late; negative once it is late. */
    readonly targetRemainingMs: number;
    /** Average size of a request of the route and its response together. */
    readonly averageBytes: number;
    /** How long requests of this route run, averaged over the backend servers; undefined if unknown. */
    readonly routeServiceMs: number | undefined;
    readonly random: RandomSource;
};

/** A backend server that is considered. */
type Candidate = {
    readonly backend: RoutableBackend;
    readonly view: BackendView;
    readonly isSameZone: boolean;
    /** True if it could not be reached recently and is avoided for now. */
    readonly isBackingOff: boolean;
};

/** Backend servers of other zones that are considered: with more, all nodes would pick the same free slot at once. */
const OTHER_ZONE_SAMPLES = 2;

/** Limit of random draws for them, since a draw may hit one that was already tried or can't be reached. */
const OTHER_ZONE_DRAWS = 16;

/** Least time that crossing zones must save: for the round trip, and for the cost of the transferred bytes. */
const ZONE_PENALTY_MS = 15;
const ZONE_PENALTY_MS_PER_KILOBYTE = 10;

/**
 * A backend server of the same zone is probed if no load report or result has arrived from it for this long, so that
 * it does not stay unused.
 */
const STALE_AFTER_MS = 1_500;

/** Largest share of the requests that is sent as probes. */
const PROBE_SHARE = 0.05;

/** A backend server whose last known failure share is at least this is left to the probes of other nodes. */
const PROBE_FAILURE_LIMIT = 0.3;

/**
 * A response expected within this share of the time to the target is early enough: the time that requests take
 * varies by about twice its mean. Getting it even earlier is not worth the bytes to another zone.
 */
const EARLY_SHARE = 0.4;

/** Latency within the early limit counts with this share, so that the earliest response is still preferred. */
const EARLY_COST_SHARE = 0.2;

/** What a failure costs the caller: the failed attempt and another one elsewhere. */
const FAILURE_PENALTY_MS = 1_000;

/** The cost of the expected latency: low while the response comes well before its target. */
const latencyCostMs = (expectedMs: number, targetRemainingMs: number): number => {
    const earlyMs = Math.max(0, targetRemainingMs) * EARLY_SHARE;
    return expectedMs * EARLY_COST_SHARE + Math.max(0, expectedMs - earlyMs) * (1 - EARLY_COST_SHARE);
};

/** Average service time of the backend servers of which it is known, over the requests of all routes. */
const averageServiceMs = (candidates: readonly Candidate[]): number | undefined => {
    const known = candidates.flatMap(({ view }) => view.serviceMs ?? []);
    return known.length > 0 ? known.reduce((sum, serviceMs) => sum + serviceMs, 0) / known.length : undefined;
};

/**
 * The cost of sending the request to this backend server, in milliseconds.
 * @param averageMs average service time of the candidates. Compared with it, the service time of a backend server tells
 * how fast that server is, whatever mix of routes it serves.
 */
const costMsOf = (
    input: PickInput,
    { backend, isSameZone, view }: Candidate,
    averageMs: number | undefined,
): number => {
    const { averageBytes, nowMs, routeServiceMs, targetRemainingMs } = input;
    const { decay, runMs, uncertainMs, waitMs } = estimateLatency({
        backend,
        view,
        averageMs,
        nowMs,
        routeServiceMs,
    });
    const failureMs = view.failureShare * decay * FAILURE_PENALTY_MS;
    const zoneMs = isSameZone ? 0 : ZONE_PENALTY_MS + (averageBytes / 1_024) * ZONE_PENALTY_MS_PER_KILOBYTE;
    return latencyCostMs(runMs + waitMs, targetRemainingMs) + uncertainMs + failureMs + zoneMs;
};

const toCandidate = ({ nowMs, viewOf }: PickInput, backend: RoutableBackend, isSameZone: boolean): Candidate => {
    const view = viewOf(backend);
    return { backend, view, isSameZone, isBackingOff: isInBackoff(view, nowMs) };
};

/** Returns a random sample of the other zones' backend servers. There may be many, so the rest is not considered. */
const sampleOtherZones = (input: PickInput): readonly Candidate[] => {
    const { backends: { otherZones }, random, tried } = input;
    const sampled = new Map<RoutableBackend, Candidate>();
    let remaining = Math.min(OTHER_ZONE_SAMPLES, otherZones.length);
    for (let draw = 0; draw < OTHER_ZONE_DRAWS && remaining > 0; draw += 1) {
        const backend = random.pick(otherZones);
        if (!sampled.has(backend) && !tried.has(backend.nodeId)) {
            const candidate = toCandidate(input, backend, false);
            sampled.set(backend, candidate);
            remaining -= candidate.isBackingOff ? 0 : 1;
        }
    }
    return [...sampled.values()];
};

/**
 * Returns the backend server of the same zone that most needs a probe, or undefined if this request is not to be a
 * probe.
 */
const pickProbe = ({ nowMs, random }: PickInput, sameZone: readonly Candidate[]): RoutableBackend | undefined => {
    if (random.fraction() >= PROBE_SHARE) {
        return undefined;
    }
    let stalest: RoutableBackend | undefined;
    let updatedAtMs = nowMs - STALE_AFTER_MS;
    for (const { backend, isBackingOff, view } of sameZone) {
        const isDue = !isBackingOff && view.outstanding === 0 && view.failureShare < PROBE_FAILURE_LIMIT;
        if (isDue && view.updatedAtMs < updatedAtMs) {
            stalest = backend;
            ({ updatedAtMs } = view);
        }
    }
    return stalest;
};

/**
 * Chooses the backend server with the lowest cost for the request, or sometimes one that needs a probe. Those that
 * could not be reached recently are used only if there is no other. Returns undefined if no untried one is found.
 */
export const pickBackend = (input: PickInput): RoutableBackend | undefined => {
    const sameZone = input.backends.sameZone
        .filter(({ nodeId }) => !input.tried.has(nodeId))
        .map((backend) => toCandidate(input, backend, true));
    const probe = pickProbe(input, sameZone);
    if (probe) {
        return probe;
    }
    const candidates = [...sameZone, ...sampleOtherZones(input)];
    const reachable = candidates.filter((candidate) => !candidate.isBackingOff);
    const averageMs = averageServiceMs(candidates);
    let best: RoutableBackend | undefined;
    let bestMs = Infinity;
    for (const candidate of reachable.length > 0 ? reachable : candidates) {
        const costMs = costMsOf(input, candidate, averageMs);
        if (costMs < bestMs) {
            best = candidate.backend;
            bestMs = costMs;
        }
    }
    return best;
};
