import { CallRequest } from "../CallRequest";

/** Creates a request for a map tile. */
export const sampleRequest = (requestId: string, change: Partial<CallRequest> = {}): CallRequest => ({
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
