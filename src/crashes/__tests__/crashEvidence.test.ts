import * as fc from "fast-check";
import { crashEvidence } from "../crashEvidence";
import { CrashReport } from "../CrashReport";

type State = typeof crashEvidence.empty;

const FINGERPRINT = "f";
const inService = (...versions: readonly string[]): ReadonlySet<string> => new Set(versions);

const verdictAt = (state: State, nowMs: number, versionsInService = inService("v1"), fingerprint = FINGERPRINT) =>
    crashEvidence.verdictOf(state, fingerprint, { nowMs, versionsInService });

const report = (change: Partial<CrashReport["crashes"][number]> = {}, fingerprint = FINGERPRINT): CrashReport => ({
    fingerprint,
    service: "canopy-map",
    crashes: [{ backend: "i-1/1", backendVersion: "v1", rank: 1, ageMs: 0, ...change }],
});

/** A crash of a run that began when all earlier crashes were known. */
const crash = (state: State, backend: string, nowMs: number, change: Partial<CrashReport["crashes"][number]> = {}) => {
    const rank = crashEvidence.rankOf(state, FINGERPRINT) + 1;
    return crashEvidence.merge(state, [report({ backend, rank, ...change })], nowMs).state;
};

const crashTimes = (times: readonly number[]): State =>
    times.reduce((state, atMs, index) => crash(state, `i-${index}`, atMs), crashEvidence.empty);

describe("a request under which backend servers crash", () => {
    test("is suspect after the first crash, tried again a while after the second and refused after the third", () => {
        const { refusalMs, trialDelayMs } = crashEvidence;
        expect(verdictAt(crashEvidence.empty, 0)).toEqual({ kind: "free" });
        expect(verdictAt(crashTimes([0]), 1)).toEqual({ kind: "suspect" });
        const twice = crashTimes([0, 100]);
        expect(verdictAt(twice, 200)).toEqual({ kind: "refused", retryAfterMs: trialDelayMs - 100 });
        expect(verdictAt(twice, 100 + trialDelayMs)).toEqual({ kind: "trial" });
        const thrice = crashTimes([0, 100, 6_000]);
        expect(verdictAt(thrice, 6_000)).toEqual({ kind: "refused", retryAfterMs: refusalMs });
        expect(verdictAt(thrice, 6_000 + refusalMs)).toEqual({ kind: "trial" });
    });

    test("is refused for longer with each trial that crashes, and forgotten at last", () => {
        const { memoryMs, refusalMs } = crashEvidence;
        const again = crash(crashTimes([0, 100, 200]), "i-9", refusalMs + 200);
        expect(verdictAt(again, refusalMs + 200)).toEqual({ kind: "refused", retryAfterMs: 2 * refusalMs });
        expect(verdictAt(again, 3 * refusalMs + 200)).toEqual({ kind: "trial" });
        expect(verdictAt(again, 3 * refusalMs + 200 + memoryMs)).toEqual({ kind: "free" });
    });

    test("is free once a run is completed, also if reports of earlier crashes arrive later", () => {
        const { news, state } = crashEvidence.clear(crashTimes([0, 100, 200]), FINGERPRINT, 300);
        expect(verdictAt(state, 300)).toEqual({ kind: "free" });
        expect(verdictAt(crash(state, "i-late", 400, { ageMs: 150 }), 400)).toEqual({ kind: "free" });
        expect(verdictAt(crash(state, "i-new", 400), 400)).toEqual({ kind: "suspect" });
        // A member that hears of the completed run before the crashes takes all of it from the same report.
        const other = crashEvidence.merge(crashEvidence.empty, news, 300).state;
        expect(verdictAt(crash(other, "i-0", 301, { ageMs: 301 }), 301)).toEqual({ kind: "free" });
    });

    // Guards against refusing what ran in a zone or rack that was lost as a whole.
    test("is suspect at most if many backend servers end at the same moment", () => {
        const state = Array.from({ length: 8 }, (_, index) => report({ backend: `i-${index}`, rank: 1 })).reduce(
            (current, each, index) => crashEvidence.merge(current, [each], index * 5).state,
            crashEvidence.empty,
        );
        expect(verdictAt(state, 50)).toEqual({ kind: "suspect" });
    });

    // Guards against counting crashes as one that follow one another within milliseconds.
    test("is refused after three runs one after another, however short they are", () => {
        expect(verdictAt(crashTimes([0, 4, 8]), 9)).toMatchObject({
            kind: "refused",
            retryAfterMs: expect.any(Number),
        });
        expect(verdictAt(crashTimes([0, 4, 8]), 20_000)).toMatchObject({ kind: "refused" });
    });

    // Guards against a refusal that outlives a rolled-back or replaced version.
    test("is tried at another version once the one that crashed is out of service", () => {
        const state = crashTimes([0, 100, 200]);
        expect(verdictAt(state, 20_000, inService("v1", "v2"))).toMatchObject({ kind: "refused" });
        expect(verdictAt(state, 20_000, inService("v2"))).toEqual({ kind: "trial" });
        expect(verdictAt(state, 20_000, inService())).toMatchObject({ kind: "refused" });
        const crashedToo = crash(state, "i-9", 20_000, { backendVersion: "v2" });
        expect(verdictAt(crashedToo, 30_000, inService("v2"))).toMatchObject({ kind: "refused" });
    });

    test("keeps its service and every other request free", () => {
        expect(verdictAt(crashTimes([0, 100, 200]), 300, inService("v1"), "g")).toEqual({ kind: "free" });
    });
});

describe("what is known of crashes", () => {
    // Guards against a caller that fills the table with other requests that crash backend servers.
    test("is bounded, and keeps a refusal while many other requests crash backend servers", () => {
        let state = crashTimes([0, 100, 200]);
        for (let index = 0; index < 3 * crashEvidence.maximumEntries; index += 1) {
            state = crashEvidence.merge(state, [report({ backend: `x-${index}` }, `flood-${index}`)], 300).state;
        }
        expect(state.size).toBe(crashEvidence.maximumEntries);
        expect(verdictAt(state, 300)).toMatchObject({ kind: "refused" });
    });

    test("takes in no overlong texts", () => {
        const { news, state } = crashEvidence.merge(crashEvidence.empty, [report({}, "f".repeat(10_000))], 0);
        expect(state.size + news.length).toBe(0);
    });

    /** Crashes of four starts of backend servers, of which each happens once, at one time and with one rank. */
    const arbitraryCrashes = fc.array(
        fc.record({ rank: fc.integer({ min: 1, max: 3 }), atMs: fc.integer({ min: 0, max: 1_000 }) }),
        { minLength: 4, maxLength: 4 },
    );
    const arbitraryReport = fc.record({
        fingerprint: fc.constantFrom("f", "g"),
        crash: fc.integer({ min: 0, max: 3 }),
        clearedAtMs: fc.option(fc.integer({ min: 0, max: 1_000 }), { nil: undefined }),
        isLeft: fc.boolean(),
    });

    // Guards against members that disagree for good after a partition, and against reports that circulate for ever.
    test("is the same at two members that exchange everything, in whatever order they learned it", () => {
        const nowMs = 2_000;
        fc.assert(
            fc.property(arbitraryCrashes, fc.array(arbitraryReport, { maxLength: 12 }), (crashes, reports) => {
                const learn = (isLeft: boolean): State =>
                    reports.filter((each) => each.isLeft === isLeft).reduce((state, each) => {
                        const { atMs, rank } = crashes[each.crash];
                        const backend = `${each.fingerprint}-${each.crash}`;
                        const clearedAgeMs = each.clearedAtMs === undefined ? undefined : nowMs - each.clearedAtMs;
                        const received = report({ backend, rank, ageMs: nowMs - atMs }, each.fingerprint);
                        return crashEvidence.merge(state, [{ ...received, clearedAgeMs }], nowMs).state;
                    }, crashEvidence.empty);
                const [left, right] = [learn(true), learn(false)];
                const merged = crashEvidence.merge(left, crashEvidence.reportAll(right, nowMs), nowMs).state;
                const other = crashEvidence.merge(right, crashEvidence.reportAll(left, nowMs), nowMs).state;
                for (const fingerprint of ["f", "g"]) {
                    expect(verdictAt(merged, nowMs, inService("v1"), fingerprint)).toEqual(
                        verdictAt(other, nowMs, inService("v1"), fingerprint),
                    );
                }
                const again = crashEvidence.merge(merged, crashEvidence.reportAll(other, nowMs), nowMs);
                expect(crashEvidence.merge(again.state, crashEvidence.reportAll(other, nowMs), nowMs).news).toEqual([]);
            }),
        );
    });
});
