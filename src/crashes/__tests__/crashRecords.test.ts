import { crashRecords } from "../crashRecords";
import { CrashReport } from "../CrashReport";

const report = (fingerprint: string, crashes: number): CrashReport => ({
    fingerprint,
    service: "canopy-map",
    crashes: Array.from({ length: crashes }, (_, index) => ({
        backend: `i-${index}`,
        backendVersion: "v1",
        rank: index + 1,
        ageMs: 1_000 * (crashes - index),
    })),
});

describe("crash records", () => {
    test("return the report that was stored, older by the time in between", () => {
        const change = crashRecords.difference(new Map(), [report("f", 3)], 50_000);
        const [record] = crashRecords.apply(new Map(), change).values();
        expect(crashRecords.toReport(record, 52_000).crashes.map(({ ageMs }) => ageMs)).toEqual([5_000, 4_000, 3_000]);
    });

    // Guards against a wall clock that was set back, with which a crash would lie in the future.
    test("have no negative ages", () => {
        const [record] = crashRecords.difference(new Map(), [report("f", 1)], 50_000).stored;
        expect(crashRecords.toReport(record, 10_000).crashes[0].ageMs).toBe(0);
    });

    test("change with another crash, and only then", () => {
        const records = crashRecords.apply(new Map(), crashRecords.difference(new Map(), [report("f", 3)], 0));
        expect(crashRecords.difference(records, [report("f", 3)], 9_000)).toEqual({ stored: [], removed: [] });
        expect(crashRecords.difference(records, [report("f", 4)], 9_000).stored).toHaveLength(1);
        expect(crashRecords.difference(records, [], 9_000)).toEqual({ stored: [], removed: ["f"] });
    });

    test("are bounded, with the first requests kept", () => {
        const refused = Array.from({ length: 2_000 }, (_, index) => report(`f-${index}`, 3));
        const change = crashRecords.difference(new Map(), refused, 0);
        expect(change.stored).toHaveLength(500);
        expect(change.stored[0].fingerprint).toBe("f-0");
    });
});
