import { sampleEntry } from "../../catalogue/__tests__/sampleEntry";
import { EntryRecord } from "../../catalogue/EntryRecord";
import { Rollout } from "../../catalogue/Rollout";
import { latencyBucketsMs } from "../../distribution/latencyBucketsMs";
import { RequestStatistics } from "../../distribution/RequestStatistics";
import { ServiceReport } from "../../distribution/ServiceReport";
import { canaryAnalysis } from "../canaryAnalysis";
import { Coverage } from "../Coverage";
import { coverageTracking } from "../coverageTracking";
import { decideRollout } from "../decideRollout";
import { RolloutContext } from "../RolloutContext";

const REVISION = 9;
const NOW_MS = 100_000;

const move: Rollout = {
    version: 2,
    fromVersion: 1,
    step: 0,
    startedAtMs: NOW_MS - 5_000,
    stepStartedAtMs: NOW_MS - 5_000,
    completeByMs: undefined,
    late: false,
    inForceAtMs: undefined,
};

const recordWith = (change: Partial<Rollout> = {}): EntryRecord => ({
    service: "map",
    entry: sampleEntry(),
    version: 2,
    revision: REVISION,
    stable: { version: 1, digest: "old" },
    previous: undefined,
    candidate: { version: 2, digest: "new" },
    move: { ...move, ...change },
    outcomes: [],
});

const report = (zone: string, holding: number, subscribers = 3, suppressing = 0): ServiceReport => ({
    zone,
    service: "map",
    subscribers,
    suppressing,
    holding: [{ revision: REVISION, proxies: holding }],
});

const coverageOf = (reports: readonly ServiceReport[], before: Coverage = coverageTracking.initial): Coverage =>
    coverageTracking.update(before, reports, NOW_MS);

const fullCoverage = coverageOf([report("a", 3), report("b", 3)]);

const contextWith = (change: Partial<RolloutContext> = {}): RolloutContext => ({
    record: recordWith(),
    analysis: canaryAnalysis.start("map", 1, 2),
    coverage: fullCoverage,
    requestsAtStepStart: 0,
    analysisSinceMs: 0,
    nowMs: NOW_MS,
    ...change,
});

const failures = (requests: number): RequestStatistics => ({
    service: "map",
    version: 2,
    route: "reads",
    requests,
    errors: requests,
    refusals: 0,
    cancellations: 0,
    latencies: latencyBucketsMs.map(() => 0),
});

describe("decideRollout", () => {
    test("advances once the step has baked and every proxy holds it", () => {
        expect(decideRollout(contextWith())).toMatchObject({ kind: "advance-move", step: 1 });
    });

    test("waits for a proxy that has not acknowledged the revision", () => {
        expect(decideRollout(contextWith({ coverage: coverageOf([report("a", 3), report("b", 2)]) }))).toBeUndefined();
    });

    test("waits while a zone doesn't report, and lists the zone as silent", () => {
        const coverage = coverageOf([report("a", 3)], fullCoverage);
        expect(decideRollout(contextWith({ coverage }))).toBeUndefined();
        expect(coverageTracking.summarize(coverage, REVISION)).toMatchObject({ unknown: 3, silentZones: ["b"] });
    });

    test("still expects proxies that are switching parents", () => {
        expect(decideRollout(contextWith({ coverage: coverageOf([report("a", 3), report("b", 1, 1)], fullCoverage) })))
            .toBeUndefined();
    });

    test("waits for the bake time, which restarts under a new leader", () => {
        expect(decideRollout(contextWith({ record: recordWith({ stepStartedAtMs: NOW_MS - 500 }) }))).toBeUndefined();
        expect(decideRollout(contextWith({ analysisSinceMs: NOW_MS - 500 }))).toBeUndefined();
    });

    test("waits for the entry's minimum number of requests unless that would make the rollout late", () => {
        const entry = { ...sampleEntry(), limits: { ...sampleEntry().limits, minimumRequests: 10 } };
        const record = { ...recordWith(), entry };
        expect(decideRollout(contextWith({ record }))).toBeUndefined();
        const urgent = { ...recordWith({ completeByMs: NOW_MS + 3_500 }), entry };
        expect(decideRollout(contextWith({ record: urgent }))).toMatchObject({ kind: "advance-move" });
    });

    test("marks the rollout late as soon as that is predictable, and keeps to its limits", () => {
        const record = recordWith({ completeByMs: NOW_MS + 1_000 });
        expect(decideRollout(contextWith({ record }))).toMatchObject({ kind: "mark-move", late: true });
        const marked = recordWith({ completeByMs: NOW_MS + 1_000, late: true, stepStartedAtMs: NOW_MS - 500 });
        expect(decideRollout(contextWith({ record: marked }))).toBeUndefined();
    });

    test("rolls back on a regression at every step", () => {
        const analysis = canaryAnalysis.observe(canaryAnalysis.start("map", 1, 2), [failures(10)]);
        for (const step of [0, 1, 2]) {
            const command = decideRollout(contextWith({ analysis, record: recordWith({ step, inForceAtMs: NOW_MS }) }));
            expect(command).toMatchObject({ kind: "take-back", version: 2 });
        }
    });

    test("rolls back when enough proxies suppress the version by themselves", () => {
        const coverage = coverageOf([report("a", 3, 3, 1), report("b", 3)]);
        expect(decideRollout(contextWith({ coverage }))).toMatchObject({ kind: "take-back" });
        const smallShare = coverageOf([report("a", 50, 50, 1), report("b", 50, 50)]);
        expect(decideRollout(contextWith({ coverage: smallShare }))).not.toMatchObject({ kind: "take-back" });
    });

    test("never rolls back a first version, since there is none to roll back to", () => {
        const analysis = canaryAnalysis.observe(canaryAnalysis.start("map", 0, 2), [failures(50)]);
        const record = { ...recordWith({ step: 2 }), stable: undefined };
        expect(decideRollout(contextWith({ analysis, record }))).toMatchObject({
            kind: "mark-move",
            inForceAtMs: NOW_MS,
        });
    });

    test("finishes once every proxy has held the last step for the watch time", () => {
        const lastStep = recordWith({ step: 2 });
        expect(decideRollout(contextWith({ record: lastStep }))).toMatchObject({
            kind: "mark-move",
            inForceAtMs: NOW_MS,
        });
        const watched = recordWith({ step: 2, inForceAtMs: NOW_MS - 1_000 });
        expect(decideRollout(contextWith({ record: watched }))).toMatchObject({ kind: "finish-move" });
        const early = recordWith({ step: 2, inForceAtMs: NOW_MS - 900 });
        expect(decideRollout(contextWith({ record: early }))).toBeUndefined();
    });
});
