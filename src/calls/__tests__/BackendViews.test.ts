import { BackendLoad } from "../BackendLoad";
import { BackendViews } from "../BackendViews";

const key = { nodeId: "node-1", instanceId: "i-1" };

const load = (pacingMs?: number): BackendLoad => ({
    instanceId: "i-1",
    bornMs: 0,
    isDraining: false,
    total: 1,
    yours: 1,
    serviceMs: 90,
    routeServiceMs: undefined,
    failureShare: 0,
    pacingMs,
});

describe("BackendViews", () => {
    test("spaces the requests to a backend server by the pacing that its node reports", () => {
        const views = new BackendViews();
        views.updateLoad("node-1", load(200), 1_000);
        views.begin("node-1", "i-1", 1_000);
        views.begin("node-1", "i-1", 1_050);
        expect(views.viewOf(key).nextSendAtMs).toBe(1_400);
        views.begin("node-1", "i-1", 5_000);
        expect(views.viewOf(key).nextSendAtMs).toBe(5_200);
    });

    test("allows requests at any time if the report names no pacing", () => {
        const views = new BackendViews();
        views.updateLoad("node-1", load(200), 1_000);
        views.updateLoad("node-1", load(), 1_100);
        views.begin("node-1", "i-1", 1_100);
        expect(views.viewOf(key).nextSendAtMs).toBe(1_100);
    });
});
