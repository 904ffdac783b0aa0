import { RandomSource } from "../../core/RandomSource";
import { latencyBucketsMs } from "../../distribution/latencyBucketsMs";
import { RequestStatistics } from "../../distribution/RequestStatistics";
import { canaryAnalysis } from "../canaryAnalysis";
import { CanaryAnalysisState } from "../CanaryAnalysisState";
import { canaryThresholds } from "../canaryThresholds";

const BATCHES_PER_SECOND = 4;

/** The traffic of one route during a simulated rollout. Shares and errors are fractions of the requests. */
type Traffic = {
    readonly requestsPerSecond: number;
    readonly candidateShare: number;
    readonly baselineErrors: (second: number) => number;
    readonly candidateErrors: (second: number) => number;
    readonly baselineLatencyMs?: number;
    readonly candidateLatencyMs?: number;
    readonly route?: string;
};

const sampleBinomial = (random: RandomSource, requests: number, share: number): number =>
    Array.from({ length: requests }, () => random.fraction()).filter((fraction) => fraction < share).length;

/** Rounds up or down at random, so that the expected value is `mean`. */
const roundRandomly = (random: RandomSource, mean: number): number =>
    Math.floor(mean) + (random.fraction() < mean % 1 ? 1 : 0);

const batchOf = (
    random: RandomSource,
    version: number,
    requests: number,
    errors: number,
    latencyMs: number,
    route: string,
): RequestStatistics => {
    const latencies = latencyBucketsMs.map(() => 0);
    for (let request = 0; request < requests - errors; request += 1) {
        const sampleMs = latencyMs * (0.5 + 2 * random.fraction() ** 4);
        latencies[latencyBucketsMs.findIndex((boundMs) => sampleMs <= boundMs)] += 1;
    }
    return { service: "map", version, route, requests, errors, refusals: 0, cancellations: 0, latencies };
};

/** One batch of statistics of each version. */
const batchesOf = (random: RandomSource, traffic: Traffic, second: number): readonly RequestStatistics[] => {
    const { baselineLatencyMs = 10, candidateLatencyMs = 10, candidateShare, requestsPerSecond, route = "reads" } =
        traffic;
    const perBatch = requestsPerSecond / BATCHES_PER_SECOND;
    const baseline = roundRandomly(random, perBatch * (1 - candidateShare));
    const candidate = roundRandomly(random, perBatch * candidateShare);
    const baselineErrors = sampleBinomial(random, baseline, traffic.baselineErrors(second));
    const candidateErrors = sampleBinomial(random, candidate, traffic.candidateErrors(second));
    return [
        batchOf(random, 1, baseline, baselineErrors, baselineLatencyMs, route),
        batchOf(random, 2, candidate, candidateErrors, candidateLatencyMs, route),
    ];
};

/** Simulates a rollout. It ends early when `isOver` returns true. */
const simulateRollout = (
    traffics: readonly Traffic[],
    seconds: number,
    seed: number,
    isOver: (strength: number, second: number) => boolean,
): void => {
    const random = new RandomSource(seed);
    let analysis: CanaryAnalysisState = canaryAnalysis.start("map", 1, 2);
    for (let batch = 0; batch < seconds * BATCHES_PER_SECOND; batch += 1) {
        const second = batch / BATCHES_PER_SECOND;
        const statistics = traffics.flatMap((traffic) => batchesOf(random, traffic, second));
        analysis = canaryAnalysis.observe(analysis, statistics.filter(({ requests }) => requests > 0));
        if (isOver(canaryAnalysis.strongestRegression(analysis)?.strength ?? 0, second)) {
            return;
        }
    }
};

/** The second at which a rollout would be rolled back; undefined if it would not be. */
const rolledBackAfter = (traffics: readonly Traffic[], seconds: number, seed: number): number | undefined => {
    let rolledBack: number | undefined;
    simulateRollout(traffics, seconds, seed, (strength, second) => {
        rolledBack = strength >= canaryThresholds.rollBack ? second : undefined;
        return rolledBack !== undefined;
    });
    return rolledBack;
};

/** Whether a rollout with a deadline passes its canary analysis. */
const passesCanary = (traffics: readonly Traffic[], seconds: number, seed: number): boolean => {
    let last = 0;
    simulateRollout(traffics, seconds, seed, (strength) => {
        last = strength;
        return strength >= canaryThresholds.rollBackBeforeDeadline;
    });
    return last < canaryThresholds.passCanary;
};

const constantShare = (share: number) => (): number => share;

const healthyTraffic: Traffic = {
    requestsPerSecond: 200,
    candidateShare: 0.1,
    baselineErrors: constantShare(0.002),
    candidateErrors: constantShare(0.002),
};

/** A version that answers a third of its requests far too late, on both routes of a busy service. */
const partlySlow: readonly Traffic[] = [
    {
        requestsPerSecond: 200,
        candidateShare: 0.035,
        baselineErrors: constantShare(0.06),
        candidateErrors: constantShare(0.27),
        baselineLatencyMs: 150,
        candidateLatencyMs: 160,
    },
    {
        requestsPerSecond: 80,
        candidateShare: 0.035,
        baselineErrors: constantShare(0.01),
        candidateErrors: constantShare(0.1),
        baselineLatencyMs: 200,
        candidateLatencyMs: 330,
        route: "orders",
    },
];

const seeds = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => 1_000 + index);

describe("canary analysis", () => {
    test.each([
        ["healthy", [healthyTraffic]],
        ["healthy, with very few requests", [{ ...healthyTraffic, requestsPerSecond: 2 }]],
        ["no better than a failing baseline", [{
            ...healthyTraffic,
            baselineErrors: constantShare(0.2),
            candidateErrors: constantShare(0.2),
        }]],
        ["hit by the same fault as the baseline", [{
            ...healthyTraffic,
            baselineErrors: (second: number) => (second > 30 ? 0.6 : 0.002),
            candidateErrors: (second: number) => (second > 30 ? 0.6 : 0.002),
        }]],
        [
            "healthy on many routes",
            Array.from(
                { length: 20 },
                (_, index) => ({ ...healthyTraffic, requestsPerSecond: 20, route: `route-${index}` }),
            ),
        ],
    ])("rolls back at most 1 in 100 rollouts of a version that is %s", (_, traffics) => {
        const wrongSeeds = seeds(200).filter((seed) => rolledBackAfter(traffics, 60, seed) !== undefined);
        expect(wrongSeeds.length).toBeLessThanOrEqual(2);
    });

    test.each([
        ["fails every second request", [{ ...healthyTraffic, candidateErrors: constantShare(0.5) }], 3],
        ["fails always, at 5 requests a second", [{
            ...healthyTraffic,
            requestsPerSecond: 50,
            candidateErrors: constantShare(1),
        }], 3],
        ["is slow", [{ ...healthyTraffic, candidateLatencyMs: 200 }], 3],
        ["fails on one route of twenty", [
            ...Array.from({ length: 19 }, (_, index) => ({ ...healthyTraffic, route: `route-${index}` })),
            { ...healthyTraffic, route: "bad", candidateErrors: constantShare(0.8) },
        ], 3],
        ["is worse than a failing baseline", [{
            ...healthyTraffic,
            baselineErrors: constantShare(0.2),
            candidateErrors: constantShare(0.9),
        }], 3],
        ["fails a tenth of its requests", [{ ...healthyTraffic, candidateErrors: constantShare(0.1) }], 20],
        [
            "fails only from 40 s on",
            [{ ...healthyTraffic, candidateErrors: (second: number) => (second >= 40 ? 0.5 : 0.002) }],
            43,
        ],
    ])("rolls back in time a version that %s", (_, traffics, withinSeconds) => {
        const lateSeeds = seeds(100).filter((seed) => (rolledBackAfter(traffics, 60, seed) ?? 60) > withinSeconds);
        expect(lateSeeds).toEqual([]);
    });

    test("fails every 13 s canary of a version that answers a third of its requests too late", () => {
        expect(seeds(100).filter((seed) => passesCanary(partlySlow, 13, seed))).toEqual([]);
    });

    test("passes at least 98 of 100 healthy versions in a 13 s canary against a baseline that fails as often", () => {
        const healthy = partlySlow.map((traffic) => ({
            ...traffic,
            candidateErrors: traffic.baselineErrors,
            candidateLatencyMs: traffic.baselineLatencyMs,
        }));
        const wrongSeeds = seeds(200).filter((seed) => !passesCanary(healthy, 13, seed));
        expect(wrongSeeds.length).toBeLessThanOrEqual(4);
    });

    test("rolls back at most 2 of 100 healthy versions while the baseline gets only 10 % of the requests", () => {
        const mostTraffic = partlySlow.map((traffic) => ({
            ...traffic,
            candidateShare: 0.9,
            candidateErrors: traffic.baselineErrors,
            candidateLatencyMs: traffic.baselineLatencyMs,
        }));
        const rollbackScore = canaryThresholds.rollBackBeforeDeadline;
        const wrongSeeds = seeds(200).filter((seed) => {
            let strongest = 0;
            simulateRollout(mostTraffic, 4, seed, (current) => {
                strongest = Math.max(strongest, current);
                return strongest >= rollbackScore;
            });
            return strongest >= rollbackScore;
        });
        expect(wrongSeeds.length).toBeLessThanOrEqual(4);
    });
});
