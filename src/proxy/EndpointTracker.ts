import { AttemptOutcome } from "./AttemptOutcome";
import { EndpointLoad } from "./EndpointLoad";
import { endpointLoads } from "./endpointLoads";
import { EndpointTarget } from "./EndpointTarget";

/** Keeps the loads of all endpoints, by "service/backendVersion/memberId". */
export class EndpointTracker {
    private readonly loads = new Map<string, EndpointLoad>();

    /** Returns the load of an endpoint. An unknown endpoint is added as first seen now. */
    public loadOf(key: string, nowMs: number): EndpointLoad {
        const existing = this.loads.get(key);
        if (existing) {
            return existing;
        }
        const load = endpointLoads.initial(nowMs);
        this.loads.set(key, load);
        return load;
    }

    public begin(key: string, nowMs: number): void {
        this.loads.set(key, endpointLoads.begin(this.loadOf(key, nowMs)));
    }

    public end(key: string, outcome: AttemptOutcome, elapsedMs: number, nowMs: number): void {
        this.loads.set(key, endpointLoads.end(this.loadOf(key, nowMs), outcome, elapsedMs, nowMs));
    }

    /** Adds the endpoints that are new in the index and drops those that left it and have no outstanding requests. */
    public syncEndpoints(index: ReadonlyMap<string, readonly EndpointTarget[]>, nowMs: number): void {
        const presentKeys = new Set<string>();
        for (const [pool, targets] of index) {
            targets.forEach(({ memberId }) => presentKeys.add(`${pool}/${memberId}`));
        }
        presentKeys.forEach((key) => this.loadOf(key, nowMs));
        for (const [key, { outstanding }] of this.loads) {
            if (!presentKeys.has(key) && outstanding === 0) {
                this.loads.delete(key);
            }
        }
    }
}
