import { RandomSource } from "../../core/RandomSource";
import { BackendSelector } from "../BackendSelector";
import { BackendViews } from "../BackendViews";
import { RoutableBackend } from "../RoutableBackend";
import { RouteStatistics } from "../RouteStatistics";
import { splitByZone } from "../splitByZone";
import { sampleZoneSettings } from "./sampleZoneSettings";

const NOW_MS = 1_000;

const backend = (nodeId: string, zone: string): RoutableBackend => ({
    nodeId,
    address: `${nodeId}:7`,
    zone,
    service: "s",
    version: "v1",
    instanceId: `i-${nodeId}`,
    bornMs: 0,
    slots: 4,
    warmAtMs: 0,
});

describe("BackendSelector", () => {
    const views = new BackendViews();
    const backendsOf = () => splitByZone([backend("near", "a"), backend("far", "b")], "a");
    const selector = new BackendSelector({
        ...sampleZoneSettings,
        clock: { monotonicMs: () => NOW_MS, wallMs: () => NOW_MS },
        random: new RandomSource(1),
        views,
        statistics: new RouteStatistics(),
        backendsOf,
        stableBackendsOf: backendsOf,
    });
    const select = (targetAtMs: number, tried: readonly string[] = []) =>
        selector.select({ routeName: "r", service: "s", priority: 1, targetAtMs }, new Set(tried))?.nodeId;

    test("stays in the zone at the first attempt, and goes anywhere at the next one", () => {
        expect(select(NOW_MS + 500)).toBe("near");
        expect(select(NOW_MS + 500, ["near"])).toBe("far");
    });

    test("knows whether a backend server was not tried yet", () => {
        expect(selector.hasUntried("s", new Set(["near"]))).toBe(true);
        expect(selector.hasUntried("s", new Set(["near", "far"]))).toBe(false);
    });

    // Guards against late requests that wait for the link to a backend server that can't be reached.
    test("leaves the zone if its backend server can't be reached, also with a request that is late", () => {
        views.begin("near", "i-near", NOW_MS);
        views.end("near", "i-near", { kind: "not-run", reason: "link-down", retryAfterMs: 0 }, NOW_MS);
        expect(select(NOW_MS + 500)).toBe("far");
        expect(select(NOW_MS - 100)).toBe("far");
    });
});
