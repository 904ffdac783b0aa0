import { Evidence } from "../distribution/Evidence";
import { latencyBucketsMs } from "../distribution/latencyBucketsMs";
import { JudgeState } from "./JudgeState";
import { RouteJudgement } from "./RouteJudgement";
import { SignalName } from "./SignalName";
import { signals } from "./signals";

/** The baseline's counts lose half their weight over this many of its requests. */
const BASELINE_HALF_LIFE_REQUESTS = 1_000;

/** A baseline without requests counts as this many that went well. */
const PRIOR_REQUESTS = 20;
const PRIOR_HARM = 0.5;

/** Latency is judged only against a baseline of at least this many requests. */
const MINIMUM_LATENCY_BASELINE = 50;

/** A request counts as slow beyond the bound that all but this share of the baseline keep. */
const SLOW_SHARE = 0.05;

/** A single batch of the baseline is small, so its share is taken this many standard deviations higher. */
const CONCURRENT_DEVIATIONS = 2;

/** Shifts of the share of harmed requests that the two sums are tuned to. */
const SMALL_SHIFT = 0.08;
const LARGE_SHIFT = 0.45;
const MAXIMUM_SHARE = 0.97;

/** Harm counts of a batch of requests. */
type Harm = Readonly<Record<SignalName, number>>;

const noHarm: Harm = { errors: 0, slowness: 0, refusals: 0, cancellations: 0 };
const noSums = { small: 0, large: 0 } as const;

const emptyRoute: RouteJudgement = {
    baselineRequests: 0,
    baselineHarm: noHarm,
    baselineLatencies: latencyBucketsMs.map(() => 0),
    candidateRequests: 0,
    sums: { errors: noSums, slowness: noSums, refusals: noSums, cancellations: noSums },
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

const harmOf = (evidence: Evidence, firstSlowBucket: number | undefined): Harm => ({
    errors: evidence.errors,
    refusals: evidence.refusals,
    cancellations: evidence.cancellations,
    slowness: firstSlowBucket === undefined ? 0 : total(evidence.latencies.slice(firstSlowBucket)),
});

/** Adds a batch of the baseline; older counts fade by the number of requests that came after them. */
const addBaseline = (route: RouteJudgement, evidence: Evidence): RouteJudgement => {
    const fade = 0.5 ** (evidence.requests / BASELINE_HALF_LIFE_REQUESTS);
    const baselineLatencies = route.baselineLatencies.map((count, bucket) => count * fade + evidence.latencies[bucket]);
    const harm = harmOf(evidence, slowBucket(baselineLatencies));
    const faded = (name: SignalName): number => route.baselineHarm[name] * fade + harm[name];
    return {
        ...route,
        baselineRequests: route.baselineRequests * fade + evidence.requests,
        baselineLatencies,
        baselineHarm: {
            errors: faded("errors"),
            slowness: faded("slowness"),
            refusals: faded("refusals"),
            cancellations: faded("cancellations"),
        },
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

/** The share of harmed requests that the candidate may have: the baseline's, its uncertainty and the slack. */
const allowedShare = (
    route: RouteJudgement,
    batch: BaselineBatch | undefined,
    name: SignalName,
    slack: number,
): number => {
    const lasting = upperShare(route.baselineHarm[name] + PRIOR_HARM, route.baselineRequests + PRIOR_REQUESTS, 1);
    // What the baseline suffers in the same moment counts at once, so that a shared fault is not blamed on the candidate.
    const concurrent = batch ? upperShare(batch.harm[name], batch.requests, CONCURRENT_DEVIATIONS) : 0;
    return Math.min(MAXIMUM_SHARE - 0.01, Math.max(lasting, concurrent) + slack);
};

const increase = (harmed: number, requests: number, allowed: number, shift: number): number => {
    const shifted = Math.min(MAXIMUM_SHARE, allowed + shift);
    return harmed * Math.log(shifted / allowed) + (requests - harmed) * Math.log((1 - shifted) / (1 - allowed));
};

const judgeBatch = (route: RouteJudgement, candidate: Evidence, baseline: Evidence | undefined): RouteJudgement => {
    const firstSlowBucket = slowBucket(route.baselineLatencies);
    const harm = harmOf(candidate, firstSlowBucket);
    const batch = baseline && { requests: baseline.requests, harm: harmOf(baseline, firstSlowBucket) };
    const sums = { ...route.sums };
    for (const { name, slack } of signals) {
        const allowed = allowedShare(route, batch, name, slack);
        const harmed = Math.min(harm[name], candidate.requests);
        const { large, small } = route.sums[name];
        sums[name] = {
            small: Math.max(0, small + increase(harmed, candidate.requests, allowed, SMALL_SHIFT)),
            large: Math.max(0, large + increase(harmed, candidate.requests, allowed, LARGE_SHIFT)),
        };
    }
    return { ...route, sums, candidateRequests: route.candidateRequests + candidate.requests };
};

const start = (service: string, baselineVersion: number, candidateVersion: number): JudgeState => ({
    service,
    baselineVersion,
    candidateVersion,
    routes: new Map(),
});

/** Takes in a batch of evidence. Evidence on other services or versions is passed over. */
const observe = (state: JudgeState, batch: readonly Evidence[]): JudgeState => {
    const mine = batch.filter(({ service }) => service === state.service);
    const names = new Set(mine.map(({ route }) => route));
    const routes = new Map(state.routes);
    for (const name of names) {
        const onRoute = mine.filter(({ route }) => route === name);
        const baseline = onRoute.find(({ version }) => version === state.baselineVersion);
        const candidate = onRoute.find(({ version }) => version === state.candidateVersion);
        const present = routes.get(name) ?? emptyRoute;
        const withBaseline = baseline ? addBaseline(present, baseline) : present;
        routes.set(name, candidate ? judgeBatch(withBaseline, candidate, baseline) : withBaseline);
    }
    return { ...state, routes };
};

/** The strongest sum against the candidate. */
type Suspicion = {
    readonly route: string;
    readonly signal: SignalName;
    readonly strength: number;
};

const suspicion = (state: JudgeState): Suspicion | undefined => {
    let strongest: Suspicion | undefined;
    for (const [route, { sums }] of state.routes) {
        for (const { name } of signals) {
            const strength = Math.max(sums[name].small, sums[name].large);
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
