import { Evidence } from "../distribution/Evidence";
import { latencyBucketsMs } from "../distribution/latencyBucketsMs";
import { JudgeState } from "./JudgeState";
import { RouteJudgement } from "./RouteJudgement";
import { SignalName } from "./SignalName";
import { signals } from "./signals";
import { SignalSums } from "./SignalSums";

/** The baseline's counts lose half their weight over this many of its requests. */
const BASELINE_HALF_LIFE_REQUESTS = 1_000;

/** A baseline without requests counts as this many that went well. */
const PRIOR_REQUESTS = 20;
const PRIOR_HARM = 0.5;

/** Latency is judged only against a baseline of at least this many requests. */
const MINIMUM_LATENCY_BASELINE = 50;

/** A request counts as slow beyond the bound that all but this share of the baseline keep. */
const SLOW_SHARE = 0.05;

/** The baseline's counts of the moment keep this share of their weight from batch to batch. */
const RECENT_FADE = 0.7;

/** The counts of a moment are few, so their share is drawn towards the lasting one as if by this many requests. */
const MOMENT_PRIOR_REQUESTS = 20;

/** That share is taken this many standard deviations higher where the candidate has far more requests than the baseline. */
const MOMENT_DEVIATIONS = 2;

/** Shifts of the share of harmed requests that the sums are tuned to. */
const SMALL_SHIFT = 0.08;
const MEDIUM_SHIFT = 0.2;
const LARGE_SHIFT = 0.45;
const MAXIMUM_SHARE = 0.97;

/** What suspicion is said to rest on when no single route shows it as well as all of them together. */
const ALL_ROUTES = "(all)";

/** Harm counts of a batch of requests. */
type Harm = Readonly<Record<SignalName, number>>;

type Sums = Readonly<Record<SignalName, SignalSums>>;

const forEachSignal = <Value>(valueOf: (name: SignalName) => Value): Readonly<Record<SignalName, Value>> => ({
    errors: valueOf("errors"),
    slowness: valueOf("slowness"),
    refusals: valueOf("refusals"),
    cancellations: valueOf("cancellations"),
    harm: valueOf("harm"),
});

const noHarm: Harm = forEachSignal(() => 0);
const noSums: Sums = forEachSignal(() => ({ small: 0, medium: 0, large: 0 }));

const emptyRoute: RouteJudgement = {
    baselineRequests: 0,
    baselineHarm: noHarm,
    baselineLatencies: latencyBucketsMs.map(() => 0),
    recentRequests: 0,
    recentHarm: noHarm,
    candidateRequests: 0,
    sums: noSums,
};

const total = (counts: readonly number[]): number => counts.reduce((sum, count) => sum + count, 0);

/** The first bucket that counts as slow, or undefined while the baseline says too little. */
const slowBucket = (latencies: readonly number[]): number | undefined => {
    const requests = total(latencies);
    if (requests < MINIMUM_LATENCY_BASELINE) {
        return undefined;
    }
    let above = requests;
    const usual = latencies.findIndex((count) => {
        above -= count;
        return above <= requests * SLOW_SHARE;
    });
    return usual + 1;
};

const harmOf = (evidence: Evidence, firstSlowBucket: number | undefined): Harm => {
    const { cancellations, errors, latencies, refusals } = evidence;
    const slowness = firstSlowBucket === undefined ? 0 : total(latencies.slice(firstSlowBucket));
    return { errors, refusals, cancellations, slowness, harm: errors + slowness + cancellations };
};

/** Adds a batch of the baseline; older counts fade by the number of requests that came after them. */
const addBaseline = (route: RouteJudgement, evidence: Evidence): RouteJudgement => {
    const fade = 0.5 ** (evidence.requests / BASELINE_HALF_LIFE_REQUESTS);
    const baselineLatencies = route.baselineLatencies.map((count, bucket) => count * fade + evidence.latencies[bucket]);
    const harm = harmOf(evidence, slowBucket(baselineLatencies));
    return {
        ...route,
        baselineRequests: route.baselineRequests * fade + evidence.requests,
        baselineLatencies,
        baselineHarm: forEachSignal((name) => route.baselineHarm[name] * fade + harm[name]),
        recentRequests: route.recentRequests * RECENT_FADE + evidence.requests,
        recentHarm: forEachSignal((name) => route.recentHarm[name] * RECENT_FADE + harm[name]),
    };
};

/** A share and its uncertainty, in standard deviations. */
const upperShare = (harmed: number, requests: number, deviations: number): number => {
    const share = Math.min(1, harmed / requests);
    return share + deviations * Math.sqrt((share * (1 - share)) / requests);
};

/** What the baseline suffered in one batch. */
type BaselineBatch = {
    readonly requests: number;
    readonly harm: Harm;
};

/** What the candidate is compared with. */
type Comparison = {
    readonly route: RouteJudgement;
    readonly batch: BaselineBatch | undefined;
    readonly candidateRequests: number;
};

/** The baseline's share in a moment. Its own uncertainty matters as far as the candidate's requests are many beside its. */
const momentShare = (harmed: number, requests: number, lasting: number, candidateRequests: number): number => {
    const counted = requests + MOMENT_PRIOR_REQUESTS;
    const weight = Math.sqrt(candidateRequests / (candidateRequests + requests));
    return upperShare(harmed + lasting * MOMENT_PRIOR_REQUESTS, counted, MOMENT_DEVIATIONS * weight);
};

/** The share of harmed requests that the candidate may have: the baseline's, its uncertainty and the slack. */
const allowedShare = ({ batch, candidateRequests, route }: Comparison, name: SignalName, slack: number): number => {
    const { baselineHarm, baselineRequests, recentHarm, recentRequests } = route;
    const lasting = upperShare(baselineHarm[name] + PRIOR_HARM, baselineRequests + PRIOR_REQUESTS, 1);
    // What the baseline suffers in the same moment counts at once, so that a shared fault is not blamed on the candidate.
    const recent = momentShare(recentHarm[name], recentRequests, lasting, candidateRequests);
    const concurrent = batch ? momentShare(batch.harm[name], batch.requests, lasting, candidateRequests) : 0;
    return Math.min(MAXIMUM_SHARE - 0.01, Math.max(lasting, recent, concurrent) + slack);
};

const increase = (harmed: number, requests: number, allowed: number, shift: number): number => {
    const shifted = Math.min(MAXIMUM_SHARE, allowed + shift);
    return harmed * Math.log(shifted / allowed) + (requests - harmed) * Math.log((1 - shifted) / (1 - allowed));
};

/** What one batch on one route adds to the sums. */
const batchIncreases = (route: RouteJudgement, candidate: Evidence, baseline: Evidence | undefined): Sums => {
    const firstSlowBucket = slowBucket(route.baselineLatencies);
    const harm = harmOf(candidate, firstSlowBucket);
    const batch = baseline && { requests: baseline.requests, harm: harmOf(baseline, firstSlowBucket) };
    const increases = { ...noSums };
    for (const { name, slack } of signals) {
        const allowed = allowedShare({ route, batch, candidateRequests: candidate.requests }, name, slack);
        const harmed = Math.min(harm[name], candidate.requests);
        increases[name] = {
            small: increase(harmed, candidate.requests, allowed, SMALL_SHIFT),
            medium: increase(harmed, candidate.requests, allowed, MEDIUM_SHIFT),
            large: increase(harmed, candidate.requests, allowed, LARGE_SHIFT),
        };
    }
    return increases;
};

const addSums = (left: Sums, right: Sums): Sums =>
    forEachSignal((name) => ({
        small: left[name].small + right[name].small,
        medium: left[name].medium + right[name].medium,
        large: left[name].large + right[name].large,
    }));

/** Cumulative sums start again at 0 once the candidate has done better than allowed. */
const notBelowZero = (sums: Sums): Sums =>
    forEachSignal((name) => ({
        small: Math.max(0, sums[name].small),
        medium: Math.max(0, sums[name].medium),
        large: Math.max(0, sums[name].large),
    }));

const start = (service: string, baselineVersion: number, candidateVersion: number): JudgeState => ({
    service,
    baselineVersion,
    candidateVersion,
    routes: new Map(),
    allRoutes: noSums,
});

/** Takes in a batch of evidence. Evidence on other services or versions is passed over. */
const observe = (state: JudgeState, batch: readonly Evidence[]): JudgeState => {
    const mine = batch.filter(({ service }) => service === state.service);
    const names = new Set(mine.map(({ route }) => route));
    const routes = new Map(state.routes);
    let { allRoutes } = state;
    for (const name of names) {
        const onRoute = mine.filter(({ route }) => route === name);
        const baseline = onRoute.find(({ version }) => version === state.baselineVersion);
        const candidate = onRoute.find(({ version }) => version === state.candidateVersion);
        const present = routes.get(name) ?? emptyRoute;
        const withBaseline = baseline ? addBaseline(present, baseline) : present;
        if (!candidate) {
            routes.set(name, withBaseline);
            continue;
        }
        const increases = batchIncreases(withBaseline, candidate, baseline);
        allRoutes = addSums(allRoutes, increases);
        routes.set(name, {
            ...withBaseline,
            sums: notBelowZero(addSums(withBaseline.sums, increases)),
            candidateRequests: withBaseline.candidateRequests + candidate.requests,
        });
    }
    return { ...state, routes, allRoutes: notBelowZero(allRoutes) };
};

/** The strongest sum against the candidate. */
type Suspicion = {
    readonly route: string;
    readonly signal: SignalName;
    readonly strength: number;
};

const suspicion = (state: JudgeState): Suspicion | undefined => {
    let strongest: Suspicion | undefined;
    const judged = [...state.routes].map(([route, { sums }]) => ({ route, sums }));
    for (const { route, sums } of [...judged, { route: ALL_ROUTES, sums: state.allRoutes }]) {
        for (const { name } of signals) {
            const strength = Math.max(sums[name].small, sums[name].medium, sums[name].large);
            if (strength > (strongest?.strength ?? 0)) {
                strongest = { route, signal: name, strength };
            }
        }
    }
    return strongest;
};

const candidateRequests = (state: JudgeState): number =>
    [...state.routes.values()].reduce((sum, route) => sum + route.candidateRequests, 0);

/**
 * Judges a version against its concurrent baseline by cumulative sums of log-likelihood ratios. A sum that
 * reaches h is a false alarm at most about once in e^h batches.
 */
export const judging = { start, observe, suspicion, candidateRequests } as const;
