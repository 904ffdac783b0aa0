import * as fc from "fast-check";
import { departureRecords } from "../departureRecords";
import { departures } from "../departures";
import { StoredDeparture } from "../StoredDeparture";

const left = (instanceId: string, bornMs: number, leftAtMs = 0) => ({ instanceId, bornMs, leftAtMs });

describe("departures from a host", () => {
    const known = departures.add([], [left("i-1", 1_000, 50)], 50);

    test("cover the start that left and those of the same instance before it", () => {
        expect(departures.find(known, { instanceId: "i-1", bornMs: 1_000 }, 60)?.leftAtMs).toBe(50);
        expect(departures.find(known, { instanceId: "i-1", bornMs: 900 }, 60)).toBeDefined();
        expect(departures.find(known, { instanceId: "i-1", bornMs: 0 }, 60)).toBeDefined();
    });

    test("do not cover a later start of the same instance, or another instance", () => {
        expect(departures.find(known, { instanceId: "i-1", bornMs: 1_001 }, 60)).toBeUndefined();
        expect(departures.find(known, { instanceId: "i-2", bornMs: 1_000 }, 60)).toBeUndefined();
    });

    test("keep their age on the way to a process with another clock", () => {
        const reports = departures.toReports(known, 1_050);
        expect(departures.fromReports(reports, 90_000)).toEqual([left("i-1", 1_000, 89_000)]);
    });

    test("are forgotten after the retention, and do not grow with the number of starts", () => {
        expect(departures.find(known, { instanceId: "i-1", bornMs: 1_000 }, 50 + departures.retentionMs))
            .toBeUndefined();
        let current: ReturnType<typeof departures.add> = [];
        for (let index = 0; index < 1_000; index += 1) {
            current = departures.add(current, [left(`i-${index}`, index, index)], index);
        }
        expect(current.length).toBeLessThanOrEqual(100);
        expect(departures.find(current, { instanceId: "i-999", bornMs: 999 }, 1_000)).toBeDefined();
    });
});

describe("the departures that control stores", () => {
    // A day of releases: every host replaces its backend server again and again.
    test("stay bounded by the retention and do not grow with the fleet or the day", () => {
        fc.assert(
            fc.property(
                fc.integer({ min: 1, max: 5_000 }),
                fc.integer({ min: 1, max: 2_000 }),
                (hosts, gapMs) => {
                    let records: ReadonlyMap<string, readonly StoredDeparture[]> = new Map();
                    for (let index = 0; index < 1_500; index += 1) {
                        const atMs = index * gapMs;
                        const departure = left(`i-${index}`, atMs, atMs);
                        records = departureRecords.apply(records, `node-${index % hosts}`, departure, atMs);
                    }
                    const kept = [...records.values()].flat();
                    expect(kept.length).toBeLessThanOrEqual(Math.ceil(departures.retentionMs / gapMs));
                    expect(records.size).toBeLessThanOrEqual(1_000);
                },
            ),
            { numRuns: 5, seed: 1 },
        );
    });

    test("are reported with their age, never a negative one", () => {
        const departure = departureRecords.toStored({ instanceId: "i-1", bornMs: 1_000, ageMs: 300 }, 10_000);
        const records = departureRecords.apply(new Map(), "node-1", departure, 10_000);
        expect(departureRecords.reportsOf(records, "node-1", 10_500)).toEqual([
            { instanceId: "i-1", bornMs: 1_000, ageMs: 800 },
        ]);
        expect(departureRecords.reportsOf(records, "node-1", 5_000)[0].ageMs).toBe(0);
        expect(departureRecords.reportsOf(records, "node-2", 10_500)).toEqual([]);
    });

    test("are the same if a departure is stored again", () => {
        const once = departureRecords.apply(new Map(), "node-1", left("i-1", 1_000, 10), 10);
        expect(departureRecords.apply(once, "node-1", left("i-1", 1_000, 700), 700)).toEqual(once);
    });
});
