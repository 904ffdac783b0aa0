import { sampleEntry } from "../../catalogue/__tests__/sampleEntry";
import { EntryRecord } from "../../catalogue/EntryRecord";
import { Move } from "../../catalogue/Move";
import { Evidence } from "../../distribution/Evidence";
import { latencyBucketsMs } from "../../distribution/latencyBucketsMs";
import { ServiceReport } from "../../distribution/ServiceReport";
import { Coverage } from "../Coverage";
import { coverageChanges } from "../coverageChanges";
import { decideMove } from "../decideMove";
import { judging } from "../judging";
import { MoveQuestion } from "../MoveQuestion";

const REVISION = 9;
const NOW_MS = 100_000;

const move: Move = {
    version: 2,
    fromVersion: 1,
    step: 0,
    startedAtMs: NOW_MS - 5_000,
    stepStartedAtMs: NOW_MS - 5_000,
    completeByMs: undefined,
    late: false,
    inForceAtMs: undefined,
};

const recordWith = (change: Partial<Move> = {}): EntryRecord => ({
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

const cover = (reports: readonly ServiceReport[], before: Coverage = coverageChanges.initial): Coverage =>
    coverageChanges.update(before, reports, NOW_MS);

const everyone = cover([report("a", 3), report("b", 3)]);

const question = (change: Partial<MoveQuestion> = {}): MoveQuestion => ({
    record: recordWith(),
    judge: judging.start("map", 1, 2),
    coverage: everyone,
    requestsAtStep: 0,
    judgingSinceMs: 0,
    nowMs: NOW_MS,
    ...change,
});

const failures = (requests: number): Evidence => ({
    service: "map",
    version: 2,
    route: "reads",
    requests,
    errors: requests,
    refusals: 0,
    cancellations: 0,
    latencies: latencyBucketsMs.map(() => 0),
});

describe("a move", () => {
    test("goes on once the step has baked and every proxy holds it", () => {
        expect(decideMove(question())).toMatchObject({ kind: "advance-move", step: 1 });
    });

    test("waits for a proxy that has not acknowledged", () => {
        expect(decideMove(question({ coverage: cover([report("a", 3), report("b", 2)]) }))).toBeUndefined();
    });

    test("waits while a zone can't be reached, and says so", () => {
        const coverage = cover([report("a", 3)], everyone);
        expect(decideMove(question({ coverage }))).toBeUndefined();
        expect(coverageChanges.summarize(coverage, REVISION)).toMatchObject({ unknown: 3, silentZones: ["b"] });
    });

    test("does not take proxies between two parents for gone", () => {
        expect(decideMove(question({ coverage: cover([report("a", 3), report("b", 1, 1)], everyone) })))
            .toBeUndefined();
    });

    test("waits out the bake time, counted anew by a leader that has just taken over", () => {
        expect(decideMove(question({ record: recordWith({ stepStartedAtMs: NOW_MS - 500 }) }))).toBeUndefined();
        expect(decideMove(question({ judgingSinceMs: NOW_MS - 500 }))).toBeUndefined();
    });

    test("waits for the evidence that the entry asks for, unless waiting would make it late", () => {
        const entry = { ...sampleEntry(), limits: { ...sampleEntry().limits, minimumRequests: 10 } };
        const record = { ...recordWith(), entry };
        expect(decideMove(question({ record }))).toBeUndefined();
        const pressing = { ...recordWith({ completeByMs: NOW_MS + 3_500 }), entry };
        expect(decideMove(question({ record: pressing }))).toMatchObject({ kind: "advance-move" });
    });

    test("is reported late as soon as that can be foreseen, and keeps its limits", () => {
        const record = recordWith({ completeByMs: NOW_MS + 1_000 });
        expect(decideMove(question({ record }))).toMatchObject({ kind: "mark-move", late: true });
        const marked = recordWith({ completeByMs: NOW_MS + 1_000, late: true, stepStartedAtMs: NOW_MS - 500 });
        expect(decideMove(question({ record: marked }))).toBeUndefined();
    });

    test("is taken back on evidence, wherever it stands", () => {
        const judge = judging.observe(judging.start("map", 1, 2), [failures(10)]);
        for (const step of [0, 1, 2]) {
            const command = decideMove(question({ judge, record: recordWith({ step, inForceAtMs: NOW_MS }) }));
            expect(command).toMatchObject({ kind: "take-back", version: 2 });
        }
    });

    test("is taken back when enough proxies stopped sending on their own", () => {
        const coverage = cover([report("a", 3, 3, 1), report("b", 3)]);
        expect(decideMove(question({ coverage }))).toMatchObject({ kind: "take-back" });
        const few = cover([report("a", 50, 50, 1), report("b", 50, 50)]);
        expect(decideMove(question({ coverage: few }))).not.toMatchObject({ kind: "take-back" });
    });

    test("to a first version is not judged: there is nothing to go back to", () => {
        const judge = judging.observe(judging.start("map", 0, 2), [failures(50)]);
        const record = { ...recordWith({ step: 2 }), stable: undefined };
        expect(decideMove(question({ judge, record }))).toMatchObject({ kind: "mark-move", inForceAtMs: NOW_MS });
    });

    test("is finished once it was in force everywhere and watched", () => {
        const reached = recordWith({ step: 2 });
        expect(decideMove(question({ record: reached }))).toMatchObject({ kind: "mark-move", inForceAtMs: NOW_MS });
        const watched = recordWith({ step: 2, inForceAtMs: NOW_MS - 1_000 });
        expect(decideMove(question({ record: watched }))).toMatchObject({ kind: "finish-move" });
        const early = recordWith({ step: 2, inForceAtMs: NOW_MS - 900 });
        expect(decideMove(question({ record: early }))).toBeUndefined();
    });
});
