import * as fc from "fast-check";
import { digestOf } from "../../core/digestOf";
import { applyCommand } from "../applyCommand";
import { CatalogueCommand } from "../CatalogueCommand";
import { CatalogueState } from "../CatalogueState";
import { emptyCatalogue } from "../emptyCatalogue";
import { MoveResult } from "../MoveResult";
import { snapshotFormat } from "../snapshotFormat";
import { sampleEntry } from "./sampleEntry";

const contentOf = (backendVersion: string) => ({
    pools: { main: { backendVersion, loadBalancing: "least-outstanding" as const } },
});

const apply = (backendVersion: string, expectedVersion: number, idempotencyKey: string): CatalogueCommand => ({
    kind: "apply",
    entry: sampleEntry(contentOf(backendVersion)),
    expectedVersion,
    idempotencyKey,
    operator: "operator",
    atMs: 1_000,
});

const takeBack = (version: number): CatalogueCommand => ({
    kind: "take-back",
    service: "map",
    version,
    reason: "errors",
    operator: "operator",
    atMs: 2_000,
});

const run = (commands: readonly CatalogueCommand[], start: CatalogueState = emptyCatalogue): CatalogueState =>
    commands.reduce((state, command) => applyCommand(state, command).state, start);

const finish = (version: number): readonly CatalogueCommand[] => [
    { kind: "mark-move", service: "map", version, late: false, inForceAtMs: 1_500, atMs: 1_500 },
    { kind: "finish-move", service: "map", version, atMs: 1_600 },
];

const record = (state: CatalogueState) => {
    const found = state.records.get("map");
    if (!found) {
        throw new Error("the record is missing");
    }
    return found;
};

describe("the catalogue", () => {
    test("accepts one of two operators who race on equal version numbers", () => {
        const first = applyCommand(emptyCatalogue, apply("v1", 0, "key-1"));
        const second = applyCommand(first.state, apply("v2", 0, "key-2"));
        expect(first.answer).toMatchObject({ kind: "accepted", version: 1 });
        expect(second.answer).toEqual({ kind: "conflict", version: 1 });
        expect(second.state.records).toBe(first.state.records);
    });

    test("gives a resent command the first answer, also after newer versions", () => {
        const first = applyCommand(emptyCatalogue, apply("v1", 0, "key-1"));
        const later = run([apply("v2", 1, "key-2")], first.state);
        expect(applyCommand(later, apply("v1", 0, "key-1"))).toEqual({ state: later, answer: first.answer });
    });

    test("takes a version back by a new, higher version with the older content", () => {
        const state = run([apply("v1", 0, "1"), ...finish(1), apply("v2", 1, "2"), takeBack(2)]);
        const { candidate, outcomes, stable, version } = record(state);
        expect({ version, candidate }).toEqual({ version: 3, candidate: undefined });
        expect(stable).toEqual({ version: 3, digest: digestOf(sampleEntry(contentOf("v1")).content) });
        expect(outcomes.at(-1)).toMatchObject({ version: 2, result: MoveResult.TakenBack, reason: "errors" });
    });

    test("ignores a command about a move that is no longer the present one", () => {
        const state = run([apply("v1", 0, "1"), ...finish(1), apply("v2", 1, "2"), apply("v3", 2, "3")]);
        const stale: CatalogueCommand = { kind: "advance-move", service: "map", version: 2, step: 1, atMs: 3_000 };
        expect(applyCommand(state, stale)).toEqual({ state, answer: { kind: "stale" } });
        expect(applyCommand(state, takeBack(2)).answer).toEqual({ kind: "conflict", version: 3 });
    });

    test("ends a move that a newer entry overtakes", () => {
        const spreading = run([apply("v1", 0, "1"), ...finish(1), apply("v2", 1, "2"), apply("v3", 2, "3")]);
        expect(record(spreading).outcomes.at(-1)).toMatchObject({ version: 2, result: MoveResult.TakenBack });
        const [inForce] = finish(2);
        const reached = run([apply("v1", 0, "1"), ...finish(1), apply("v2", 1, "2"), inForce, apply("v3", 2, "3")]);
        // What was in force everywhere never reverts: it is the baseline of the newer move.
        expect(record(reached).outcomes.at(-1)).toMatchObject({ version: 2, result: MoveResult.Finished });
        expect(record(reached).stable?.version).toBe(2);
    });

    test("keeps every content that a record refers to, and no other", () => {
        const state = run([apply("v1", 0, "1"), ...finish(1), apply("v2", 1, "2"), ...finish(2), apply("v3", 2, "3")]);
        const { candidate, previous, stable } = record(state);
        const referenced = [stable, previous, candidate].flatMap((content) => (content ? [content.digest] : []));
        expect([...state.contents.keys()].sort()).toEqual([...new Set(referenced)].sort());
    });

    const commands = fc.oneof(
        fc.record({ version: fc.nat(6), content: fc.constantFrom("v1", "v2", "v3"), key: fc.nat(8) })
            .map(({ content, key, version }) => apply(content, version, `key-${key}`)),
        fc.nat(8).map(takeBack),
        fc.nat(8).chain((version) => fc.constantFrom(...finish(version))),
        fc.record({ version: fc.nat(8), step: fc.nat(3) })
            .map(({ step, version }): CatalogueCommand => ({
                kind: "advance-move",
                service: "map",
                version,
                step,
                atMs: 1,
            })),
    );

    test("never lowers a version or a revision, and ends every move once, whatever the operators do", () => {
        fc.assert(
            fc.property(fc.array(commands, { maxLength: 40 }), (list) => {
                let state = emptyCatalogue;
                const accepted = new Set<number>();
                for (const command of list) {
                    const { answer, state: next } = applyCommand(state, command);
                    const before = state.records.get("map");
                    const after = next.records.get("map");
                    expect(next.revision).toBeGreaterThanOrEqual(state.revision);
                    expect(after?.version ?? 0).toBeGreaterThanOrEqual(before?.version ?? 0);
                    expect(after?.revision ?? 0).toBeGreaterThanOrEqual(before?.revision ?? 0);
                    if (command.kind === "apply" && answer.kind === "accepted" && next !== state) {
                        accepted.add(answer.version);
                    }
                    state = next;
                }
                const open = state.records.get("map")?.move?.version;
                const ended = (state.records.get("map")?.outcomes ?? []).map(({ version }) => version);
                expect([...ended, ...(open === undefined ? [] : [open])].sort()).toEqual([...accepted].sort());
            }),
            { seed: 11, numRuns: 500 },
        );
    });

    test("is the same after a snapshot", () => {
        const state = run([apply("v1", 0, "1"), ...finish(1), apply("v2", 1, "2")]);
        expect(snapshotFormat.read(JSON.parse(JSON.stringify(snapshotFormat.write(state))))).toEqual(
            snapshotFormat.read(snapshotFormat.write(state)),
        );
        expect(snapshotFormat.read(snapshotFormat.write(state))).toEqual(state);
    });
});
