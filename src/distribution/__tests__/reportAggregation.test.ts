import * as fc from "fast-check";
import { reportAggregation } from "../reportAggregation";
import { reportKey } from "../reportKey";
import { ReportState } from "../ReportState";
import { ServiceReport } from "../ServiceReport";

const report = (service: string, subscribers: number, revision: number, zone = "a"): ServiceReport => ({
    zone,
    service,
    subscribers,
    suppressing: 0,
    holding: [{ revision, proxies: subscribers }],
});

const total = (state: ReportState, service: string) =>
    reportAggregation.totals(state).get(reportKey({ service, zone: "a" }));

describe("aggregation of reports", () => {
    test("adds up the reports of all children and replaces a child's older report by its newer one", () => {
        let state = reportAggregation.receive(reportAggregation.initial, "x", [report("map", 1, 1)], []);
        state = reportAggregation.receive(state, "y", [report("map", 2, 2)], []);
        state = reportAggregation.receive(state, "x", [report("map", 1, 2)], []);
        expect(total(state, "map")).toEqual(report("map", 3, 2));
    });

    test("does not count a child that has been removed", () => {
        let state = reportAggregation.receive(reportAggregation.initial, "x", [report("map", 4, 1)], []);
        state = reportAggregation.takeOutgoing(state).state;
        const { services } = reportAggregation.takeOutgoing(reportAggregation.forget(state, "x"));
        expect(services).toEqual([{ ...report("map", 0, 0), holding: [] }]);
    });

    test("sends totals again only when they changed or after a reset", () => {
        const state = reportAggregation.receive(reportAggregation.initial, "x", [report("map", 1, 1)], []);
        const first = reportAggregation.takeOutgoing(state);
        expect(first.services).toHaveLength(1);
        expect(reportAggregation.takeOutgoing(first.state).services).toHaveLength(0);
        expect(reportAggregation.takeOutgoing(reportAggregation.resetSent(first.state)).services).toHaveLength(1);
    });

    test("gives the root of a tree of relays the same totals as reports sent to it directly", () => {
        const leaf = fc.record({ service: fc.constantFrom("map", "stock"), revision: fc.integer({ min: 1, max: 4 }) });
        fc.assert(
            fc.property(fc.array(fc.array(leaf, { maxLength: 6 }), { minLength: 1, maxLength: 5 }), (relays) => {
                let direct = reportAggregation.initial;
                let top = reportAggregation.initial;
                relays.forEach((leaves, relayIndex) => {
                    let relay = reportAggregation.initial;
                    leaves.forEach(({ revision, service }, leafIndex) => {
                        const own = [report(service, 1, revision)];
                        relay = reportAggregation.receive(relay, `${leafIndex}`, own, []);
                        direct = reportAggregation.receive(direct, `${relayIndex}/${leafIndex}`, own, []);
                    });
                    top = reportAggregation.receive(
                        top,
                        `${relayIndex}`,
                        reportAggregation.takeOutgoing(relay).services,
                        [],
                    );
                });
                const sorted = (state: ReportState) =>
                    [...reportAggregation.totals(state)].sort(([a], [b]) => (a < b ? -1 : 1));
                expect(sorted(top)).toEqual(sorted(direct));
            }),
            { seed: 5, numRuns: 200 },
        );
    });
});
