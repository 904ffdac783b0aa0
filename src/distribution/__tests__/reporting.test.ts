import * as fc from "fast-check";
import { reporting } from "../reporting";
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

const total = (state: ReportState, service: string) => reporting.totals(state).get(reportKey({ service, zone: "a" }));

describe("aggregation of reports", () => {
    test("adds up the reports of all children and replaces a child's older report by its newer one", () => {
        let state = reporting.receive(reporting.initial, "x", [report("map", 1, 1)], []);
        state = reporting.receive(state, "y", [report("map", 2, 2)], []);
        state = reporting.receive(state, "x", [report("map", 1, 2)], []);
        expect(total(state, "map")).toEqual(report("map", 3, 2));
    });

    test("does not count a child that has been removed", () => {
        let state = reporting.receive(reporting.initial, "x", [report("map", 4, 1)], []);
        state = reporting.takeOutgoing(state).state;
        const { services } = reporting.takeOutgoing(reporting.forget(state, "x"));
        expect(services).toEqual([{ ...report("map", 0, 0), holding: [] }]);
    });

    test("sends totals again only when they changed or after a reset", () => {
        const state = reporting.receive(reporting.initial, "x", [report("map", 1, 1)], []);
        const first = reporting.takeOutgoing(state);
        expect(first.services).toHaveLength(1);
        expect(reporting.takeOutgoing(first.state).services).toHaveLength(0);
        expect(reporting.takeOutgoing(reporting.resetSent(first.state)).services).toHaveLength(1);
    });

    test("gives the root of a tree of relays the same totals as reports sent to it directly", () => {
        const leaf = fc.record({ service: fc.constantFrom("map", "stock"), revision: fc.integer({ min: 1, max: 4 }) });
        fc.assert(
            fc.property(fc.array(fc.array(leaf, { maxLength: 6 }), { minLength: 1, maxLength: 5 }), (relays) => {
                let direct = reporting.initial;
                let top = reporting.initial;
                relays.forEach((leaves, relayIndex) => {
                    let relay = reporting.initial;
                    leaves.forEach(({ revision, service }, leafIndex) => {
                        const own = [report(service, 1, revision)];
                        relay = reporting.receive(relay, `${leafIndex}`, own, []);
                        direct = reporting.receive(direct, `${relayIndex}/${leafIndex}`, own, []);
                    });
                    top = reporting.receive(top, `${relayIndex}`, reporting.takeOutgoing(relay).services, []);
                });
                const sorted = (state: ReportState) =>
                    [...reporting.totals(state)].sort(([a], [b]) => (a < b ? -1 : 1));
                expect(sorted(top)).toEqual(sorted(direct));
            }),
            { seed: 5, numRuns: 200 },
        );
    });
});
