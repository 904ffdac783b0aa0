import * as fc from "fast-check";
import { digestOf } from "../../core/digestOf";
import { applyCommand } from "../applyCommand";
import { CatalogueCommand } from "../CatalogueCommand";
import { CatalogueState } from "../CatalogueState";
import { emptyCatalogue } from "../emptyCatalogue";
import { RolloutResult } from "../RolloutResult";
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

const rollBack = (version: number): CatalogueCommand => ({
    kind: "take-back",
    service: "map",
    version,
    reason: "errors",
    operator: "operator",
    atMs: 2_000,
});

const applyAll = (commands: readonly CatalogueCommand[], start: CatalogueState = emptyCatalogue): CatalogueState =>
    commands.reduce((state, command) => applyCommand(state, command).state, start);

const finishCommands = (version: number): readonly CatalogueCommand[] => [
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

describe("applyCommand", () => {
    test("accepts only one of two entries that expect the same version", () => {
        const first = applyCommand(emptyCatalogue, apply("v1", 0, "key-1"));
        const second = applyCommand(first.state, apply("v2", 0, "key-2"));
        expect(first.answer).toMatchObject({ kind: "accepted", version: 1 });
        expect(second.answer).toEqual({ kind: "conflict", version: 1 });
        expect(second.state.records).toBe(first.state.records);
    });

    test("returns the first answer to a resent command, even after newer versions", () => {
        const first = applyCommand(emptyCatalogue, apply("v1", 0, "key-1"));
        const later = applyAll([apply("v2", 1, "key-2")], first.state);
        expect(applyCommand(later, apply("v1", 0, "key-1"))).toEqual({ state: later, answer: first.answer });
    });

    test("rolls a version back by a new, higher version with the earlier content", () => {
        const state = applyAll([apply("v1", 0, "1"), ...finishCommands(1), apply("v2", 1, "2"), rollBack(2)]);
        const { candidate, outcomes, stable, version } = record(state);
        expect({ version, candidate }).toEqual({ version: 3, candidate: undefined });
        expect(stable).toEqual({ version: 3, digest: digestOf(sampleEntry(contentOf("v1")).content) });
        expect(outcomes.at(-1)).toMatchObject({ version: 2, result: RolloutResult.RolledBack, reason: "errors" });
    });

    test("ignores a command about a rollout that is no longer the current one", () => {
        const state = applyAll([apply("v1", 0, "1"), ...finishCommands(1), apply("v2", 1, "2"), apply("v3", 2, "3")]);
        const stale: CatalogueCommand = { kind: "advance-move", service: "map", version: 2, step: 1, atMs: 3_000 };
        expect(applyCommand(state, stale)).toEqual({ state, answer: { kind: "stale" } });
        expect(applyCommand(state, rollBack(2)).answer).toEqual({ kind: "conflict", version: 3 });
    });

    test("ends a rollout that is superseded by a newer entry", () => {
        const replacedEarly = applyAll([
            apply("v1", 0, "1"),
            ...finishCommands(1),
            apply("v2", 1, "2"),
            apply("v3", 2, "3"),
        ]);
        expect(record(replacedEarly).outcomes.at(-1)).toMatchObject({ version: 2, result: RolloutResult.RolledBack });
        const [inForce] = finishCommands(2);
        const replacedInForce = applyAll([
            apply("v1", 0, "1"),
            ...finishCommands(1),
            apply("v2", 1, "2"),
            inForce,
            apply("v3", 2, "3"),
        ]);
        // A version that was in force everywhere is not rolled back: it becomes the baseline of the newer rollout.
        expect(record(replacedInForce).outcomes.at(-1)).toMatchObject({ version: 2, result: RolloutResult.Finished });
        expect(record(replacedInForce).stable?.version).toBe(2);
    });

    test("keeps exactly the contents that a record refers to", () => {
        const state = applyAll([
            apply("v1", 0, "1"),
            ...finishCommands(1),
            apply("v2", 1, "2"),
            ...finishCommands(2),
            apply("v3", 2, "3"),
        ]);
        const { candidate, previous, stable } = record(state);
        const referenced = [stable, previous, candidate].flatMap((content) => (content ? [content.digest] : []));
        expect([...state.contents.keys()].sort()).toEqual([...new Set(referenced)].sort());
    });

    const commands = fc.oneof(
        fc.record({ version: fc.nat(6), content: fc.constantFrom("v1", "v2", "v3"), key: fc.nat(8) })
            .map(({ content, key, version }) => apply(content, version, `key-${key}`)),
        fc.nat(8).map(rollBack),
        fc.nat(8).chain((version) => fc.constantFrom(...finishCommands(version))),
        fc.record({ version: fc.nat(8), step: fc.nat(3) })
            .map(({ step, version }): CatalogueCommand => ({
                kind: "advance-move",
                service: "map",
                version,
                step,
                atMs: 1,
            })),
    );

    test("never decreases a version or revision and keeps each rollout open or ends it once, for any commands", () => {
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

    test("gives a state that is unchanged after a snapshot of it is written and read", () => {
        const state = applyAll([apply("v1", 0, "1"), ...finishCommands(1), apply("v2", 1, "2")]);
        expect(snapshotFormat.read(JSON.parse(JSON.stringify(snapshotFormat.write(state))))).toEqual(
            snapshotFormat.read(snapshotFormat.write(state)),
        );
        expect(snapshotFormat.read(snapshotFormat.write(state))).toEqual(state);
    });
});
