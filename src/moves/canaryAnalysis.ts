import { latencyBucketsMs } from "../distribution/latencyBucketsMs";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { CanaryAnalysisState } from "./CanaryAnalysisState";
import { CusumScores } from "./CusumScores";
import { RouteAnalysis } from "./RouteAnalysis";
import { SignalName } from "./SignalName";
import { signals } from "./signals";

/** The baseline's long-term counts lose half their weight over this many of its requests. */
const BASELINE_HALF_LIFE_REQUESTS = 1_000;

/** Prior of the baseline's long-term share: this many requests, of which `PRIOR_AFFECTED_REQUESTS` were affected. */
const PRIOR_REQUESTS = 20;
const PRIOR_AFFECTED_REQUESTS = 0.5;

/** Latency is compared only with a baseline of at least this many requests. */
const MINIMUM_LATENCY_BASELINE_REQUESTS = 50;

/** A request is slow above the lowest bucket bound that at most this share of the baseline's requests exceed. */
const SLOW_BASELINE_SHARE = 0.05;

/** The baseline's recent counts keep this share of their weight from batch to batch. */
const RECENT_DECAY_PER_BATCH = 0.7;

/** Recent counts are few, so their share is pulled towards the long-term share by this many prior requests. */
const RECENT_PRIOR_REQUESTS = 20;

/** At most this many standard deviations are added to the recent share, see `recentShareUpperBound`. */
const RECENT_STANDARD_DEVIATIONS = 2;

/** The rises in the share of affected requests that the scores are designed to detect. */
const SMALL_SHIFT = 0.08;
const MEDIUM_SHIFT = 0.2;
const LARGE_SHIFT = 0.45;

/** Shares are capped here, because the logarithms of the score diverge as a share approaches 1. */
const MAXIMUM_SHARE = 0.97;

/** Reported as the route of a regression whose score over all routes together exceeds that of every single route. */
const ALL_ROUTES_LABEL = "(all)";

/** How many requests of a batch each signal affected. */
type SignalCounts = Readonly<Record<SignalName, number>>;

type SignalScores = Readonly<Record<SignalName, CusumScores>>;

const forEachSignal = <Value>(valueOf: (name: SignalName) => Value): Readonly<Record<SignalName, Value>> => ({
    errors: valueOf("errors"),
    slowness: valueOf("slowness"),
    refusals: valueOf("refusals"),
    cancellations: valueOf("cancellations"),
    harm: valueOf("harm"),
});

const zeroCounts: SignalCounts = forEachSignal(() => 0);
const zeroScores: SignalScores = forEachSignal(() => ({ small: 0, medium: 0, large: 0 }));

const emptyRoute: RouteAnalysis = {
    baselineRequests: 0,
    baselineCounts: zeroCounts,
    baselineLatencies: latencyBucketsMs.map(() => 0),
    recentRequests: 0,
    recentCounts: zeroCounts,
    candidateRequests: 0,
    scores: zeroScores,
};

const total = (counts: readonly number[]): number => counts.reduce((sum, count) => sum + count, 0);

/** The first latency bucket that counts as slow, or undefined while the baseline has too few requests. */
const firstSlowBucketOf = (latencies: readonly number[]): number | undefined => {
    const requests = total(latencies);
    if (requests < MINIMUM_LATENCY_BASELINE_REQUESTS) {
        return undefined;
    }
    let slower = requests;
    const lastUsualBucket = latencies.findIndex((count) => {
        slower -= count;
        return slower <= requests * SLOW_BASELINE_SHARE;
    });
    return lastUsualBucket + 1;
};

const countSignals = (statistics: RequestStatistics, firstSlowBucket: number | undefined): SignalCounts => {
    const { cancellations, errors, latencies, refusals } = statistics;
    const slowness = firstSlowBucket === undefined ? 0 : total(latencies.slice(firstSlowBucket));
    return { errors, refusals, cancellations, slowness, harm: errors + slowness + cancellations };
};

/** Adds a batch of the baseline. The long-term counts decay with each request, the recent counts with each batch. */
const addBaseline = (route: RouteAnalysis, statistics: RequestStatistics): RouteAnalysis => {
    const decay = 0.5 ** (statistics.requests / BASELINE_HALF_LIFE_REQUESTS);
    const baselineLatencies = route.baselineLatencies.map((count, bucket) =>
        count * decay + statistics.latencies[bucket]
    );
    const counts = countSignals(statistics, firstSlowBucketOf(baselineLatencies));
    return {
        ...route,
        baselineRequests: route.baselineRequests * decay + statistics.requests,
        baselineLatencies,
        baselineCounts: forEachSignal((name) => route.baselineCounts[name] * decay + counts[name]),
        recentRequests: route.recentRequests * RECENT_DECAY_PER_BATCH + statistics.requests,
        recentCounts: forEachSignal((name) => route.recentCounts[name] * RECENT_DECAY_PER_BATCH + counts[name]),
    };
};

/** The share of affected requests plus the given number of its standard deviations. */
const shareUpperBound = (affected: number, requests: number, standardDeviations: number): number => {
    const share = Math.min(1, affected / requests);
    return share + standardDeviations * Math.sqrt((share * (1 - share)) / requests);
};

/** The baseline's counts of one batch. */
type BaselineBatch = {
    readonly requests: number;
    readonly counts: SignalCounts;
};

/** The inputs for comparing a batch of the candidate with the baseline. */
type Comparison = {
    readonly route: RouteAnalysis;
    readonly batch: BaselineBatch | undefined;
    readonly candidateRequests: number;
};

/**
 * Upper bound of the baseline's share over its last few batches, or over its current one. The more requests the
 * candidate has relative to the baseline, the more standard deviations are added.
 */
const recentShareUpperBound = (
    affected: number,
    requests: number,
    longTermShare: number,
    candidateRequests: number,
): number => {
    const weightedRequests = requests + RECENT_PRIOR_REQUESTS;
    const weight = Math.sqrt(candidateRequests / (candidateRequests + requests));
    return shareUpperBound(
        affected + longTermShare * RECENT_PRIOR_REQUESTS,
        weightedRequests,
        RECENT_STANDARD_DEVIATIONS * weight,
    );
};

/** The share of affected requests allowed for the candidate: the baseline's upper bound plus the slack. */
const allowedShare = ({ batch, candidateRequests, route }: Comparison, name: SignalName, slack: number): number => {
    const { baselineCounts, baselineRequests, recentCounts, recentRequests } = route;
    const longTerm = shareUpperBound(
        baselineCounts[name] + PRIOR_AFFECTED_REQUESTS,
        baselineRequests + PRIOR_REQUESTS,
        1,
    );
    // The baseline's recent and concurrent shares raise the allowed share at once, so that a fault that hits both
    // versions isn't blamed on the candidate.
    const recent = recentShareUpperBound(recentCounts[name], recentRequests, longTerm, candidateRequests);
    const concurrent = batch
        ? recentShareUpperBound(batch.counts[name], batch.requests, longTerm, candidateRequests)
        : 0;
    return Math.min(MAXIMUM_SHARE - 0.01, Math.max(longTerm, recent, concurrent) + slack);
};

const logLikelihoodRatio = (affected: number, requests: number, allowed: number, shift: number): number => {
    const shiftedShare = Math.min(MAXIMUM_SHARE, allowed + shift);
    return affected * Math.log(shiftedShare / allowed)
        + (requests - affected) * Math.log((1 - shiftedShare) / (1 - allowed));
};

/** What one batch on one route adds to the scores. */
const scoreBatch = (
    route: RouteAnalysis,
    candidate: RequestStatistics,
    baseline: RequestStatistics | undefined,
): SignalScores => {
    const firstSlowBucket = firstSlowBucketOf(route.baselineLatencies);
    const counts = countSignals(candidate, firstSlowBucket);
    const batch = baseline && { requests: baseline.requests, counts: countSignals(baseline, firstSlowBucket) };
    const scores = { ...zeroScores };
    for (const { name, slack } of signals) {
        const allowed = allowedShare({ route, batch, candidateRequests: candidate.requests }, name, slack);
        const affected = Math.min(counts[name], candidate.requests);
        scores[name] = {
            small: logLikelihoodRatio(affected, candidate.requests, allowed, SMALL_SHIFT),
            medium: logLikelihoodRatio(affected, candidate.requests, allowed, MEDIUM_SHIFT),
            large: logLikelihoodRatio(affected, candidate.requests, allowed, LARGE_SHIFT),
        };
    }
    return scores;
};

const addScores = (left: SignalScores, right: SignalScores): SignalScores =>
    forEachSignal((name) => ({
        small: left[name].small + right[name].small,
        medium: left[name].medium + right[name].medium,
        large: left[name].large + right[name].large,
    }));

/** Resets negative scores to 0: a candidate that has done better than allowed gains no credit. */
const clampToZero = (scores: SignalScores): SignalScores =>
    forEachSignal((name) => ({
        small: Math.max(0, scores[name].small),
        medium: Math.max(0, scores[name].medium),
        large: Math.max(0, scores[name].large),
    }));

const start = (service: string, baselineVersion: number, candidateVersion: number): CanaryAnalysisState => ({
    service,
    baselineVersion,
    candidateVersion,
    routes: new Map(),
    allRoutesScores: zeroScores,
});

/** Adds a batch of request statistics. Those of other services or versions are ignored. */
const observe = (state: CanaryAnalysisState, batch: readonly RequestStatistics[]): CanaryAnalysisState => {
    const serviceBatch = batch.filter(({ service }) => service === state.service);
    const routeNames = new Set(serviceBatch.map(({ route }) => route));
    const routes = new Map(state.routes);
    let { allRoutesScores } = state;
    for (const name of routeNames) {
        const onRoute = serviceBatch.filter(({ route }) => route === name);
        const baseline = onRoute.find(({ version }) => version === state.baselineVersion);
        const candidate = onRoute.find(({ version }) => version === state.candidateVersion);
        const current = routes.get(name) ?? emptyRoute;
        const withBaseline = baseline ? addBaseline(current, baseline) : current;
        if (!candidate) {
            routes.set(name, withBaseline);
            continue;
        }
        const batchScores = scoreBatch(withBaseline, candidate, baseline);
        allRoutesScores = addScores(allRoutesScores, batchScores);
        routes.set(name, {
            ...withBaseline,
            scores: clampToZero(addScores(withBaseline.scores, batchScores)),
            candidateRequests: withBaseline.candidateRequests + candidate.requests,
        });
    }
    return { ...state, routes, allRoutesScores: clampToZero(allRoutesScores) };
};

/** The highest score against the candidate, and the route and signal that it belongs to. */
type Regression = {
    readonly route: string;
    readonly signal: SignalName;
    readonly strength: number;
};

const findStrongestRegression = (state: CanaryAnalysisState): Regression | undefined => {
    let strongest: Regression | undefined;
    const routeScores = [...state.routes].map(([route, { scores }]) => ({ route, scores }));
    for (const { route, scores } of [...routeScores, { route: ALL_ROUTES_LABEL, scores: state.allRoutesScores }]) {
        for (const { name } of signals) {
            const strength = Math.max(scores[name].small, scores[name].medium, scores[name].large);
            if (strength > (strongest?.strength ?? 0)) {
                strongest = { route, signal: name, strength };
            }
        }
    }
    return strongest;
};

const candidateRequests = (state: CanaryAnalysisState): number =>
    [...state.routes.values()].reduce((sum, route) => sum + route.candidateRequests, 0);

/** The requests to the baseline, of which earlier ones count less. */
const baselineRequests = (state: CanaryAnalysisState): number =>
    [...state.routes.values()].reduce((sum, route) => sum + route.baselineRequests, 0);

/**
 * Canary analysis: compares a candidate version with the baseline that serves at the same time, by cumulative sums
 * (CUSUM) of log-likelihood ratios. A score that reaches h is a false alarm at most about once in e^h batches.
 */
export const canaryAnalysis = {
    start,
    observe,
    strongestRegression: findStrongestRegression,
    candidateRequests,
    baselineRequests,
} as const;
