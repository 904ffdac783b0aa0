import { RolloutResult } from "../catalogue/RolloutResult";
import { LatencyReport } from "./LatencyReport";
import { Measure } from "./Measure";
import { OverloadReport } from "./OverloadReport";
import { percentile } from "./percentile";
import { RolloutsReport } from "./RolloutsReport";

const PERCENT = 100;

const atMost = (name: string, value: number | undefined, unit: string, limit: number): Measure => ({
    name,
    value,
    unit,
    target: `at most ${limit}`,
    met: value === undefined ? undefined : value <= limit,
});

const atLeast = (name: string, value: number | undefined, unit: string, limit: number): Measure => ({
    name,
    value,
    unit,
    target: `at least ${limit}`,
    met: value === undefined ? undefined : value >= limit,
});

const withoutTarget = (name: string, value: number | undefined, unit: string): Measure => ({
    name,
    value,
    unit,
    target: "reported",
    met: undefined,
});

const percentOf = <Item>(items: readonly Item[], passes: (item: Item) => boolean): number | undefined =>
    items.length === 0 ? undefined : (items.filter(passes).length / items.length) * PERCENT;

const summarizeRollouts = (report: RolloutsReport): readonly Measure[] => {
    const good = report.moves.filter(({ bad }) => bad === undefined);
    const bad = report.moves.filter((rollout) => rollout.bad !== undefined);
    const faultToZeroTimesMs = bad.flatMap(({ faultToZeroMs }) => faultToZeroMs ?? []);
    const worstHarmedPercent = Math.max(
        0,
        ...bad.map(({ harmed, requestsDuring }) => (harmed / requestsDuring) * PERCENT),
    );
    const goodRolledBackPercent = percentOf(good, ({ result }) => result === RolloutResult.RolledBack);
    return [
        withoutTarget("convergence p50", percentile(report.convergenceMs, 0.5), "ms"),
        atMost("convergence p99", percentile(report.convergenceMs, 0.99), "ms", 12_000),
        atMost("convergence maximum", percentile(report.convergenceMs, 1), "ms", 12_000),
        atMost("control bytes of a node, moving", report.nodeBytesPerSecond, "B/s", 29_000),
        withoutTarget("control bytes of a node, idle", report.idleNodeBytesPerSecond, "B/s"),
        withoutTarget("control bytes of a node for a change", report.bytesPerChange, "B"),
        atLeast("good versions finished on time", percentOf(good, ({ onTime }) => onTime), "%", 99),
        atMost("good versions taken back", goodRolledBackPercent, "%", 1),
        atLeast(
            "bad versions taken back",
            percentOf(bad, ({ result }) => result === RolloutResult.RolledBack),
            "%",
            PERCENT,
        ),
        atMost("first fault to no traffic, worst", percentile(faultToZeroTimesMs, 1), "ms", 3_000),
        withoutTarget("callers harmed by a bad version, worst", worstHarmedPercent, "%"),
        withoutTarget("requests failed in the whole run", (report.load.failed / report.load.sent) * PERCENT, "%"),
        atMost("proxies that went back", report.wentBack, "times", 0),
        atMost("orders that ran twice", report.repeated, "orders", 0),
        atMost("answers to the wrong caller", report.load.misdelivered, "answers", 0),
    ];
};

const summarizeOverload = (reports: readonly OverloadReport[]): readonly Measure[] => {
    const [baseline, ...overloads] = reports;
    return overloads.map(({ factor, goodputPerSecond }) =>
        atLeast(
            `goodput at ${factor}x of that at 1x`,
            (goodputPerSecond / baseline.goodputPerSecond) * PERCENT,
            "%",
            90,
        )
    );
};

const summarizeLatency = (reports: readonly LatencyReport[]): readonly Measure[] =>
    reports.map(({ addedP99Ms, requestsPerSecond }) =>
        atMost(`added latency p99 at ${requestsPerSecond}/s`, addedP99Ms, "ms", 0.34)
    );

/** Compares each result with its target. */
export const summarizeBench = (
    rollouts: RolloutsReport,
    overload: readonly OverloadReport[],
    latency: readonly LatencyReport[],
): readonly Measure[] => [...summarizeRollouts(rollouts), ...summarizeOverload(overload), ...summarizeLatency(latency)];
