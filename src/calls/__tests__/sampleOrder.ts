import { CallOrder } from "../CallOrder";

/** A request for a tile, for tests. */
export const sampleOrder = (requestId: string, change: Partial<CallOrder> = {}): CallOrder => ({
    requestId,
    route: "tiles",
    service: "canopy-map",
    instanceId: "i-1",
    callerService: "tree-survey",
    method: "GET",
    target: "/tiles/1",
    headers: [],
    body: Buffer.alloc(0),
    priority: 1,
    remainingMs: 60_000,
    targetRemainingMs: 500,
    ...change,
});
