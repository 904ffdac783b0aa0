import { AttemptOutcome } from "./AttemptOutcome";
import { EndpointLoad } from "./EndpointLoad";
import { endpointLoads } from "./endpointLoads";
import { EndpointTarget } from "./EndpointTarget";

/** The loads of all endpoints as this node sees them, by member and backend version. */
export class EndpointTracker {
    private readonly loads = new Map<string, EndpointLoad>();

    public loadOf(key: string, nowMs: number): EndpointLoad {
        const present = this.loads.get(key);
        if (present) {
            return present;
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

    /** Notes new endpoints and forgets those that are gone and idle. */
    public follow(index: ReadonlyMap<string, readonly EndpointTarget[]>, nowMs: number): void {
        const present = new Set<string>();
        for (const [pool, targets] of index) {
            targets.forEach(({ memberId }) => present.add(`${pool}/${memberId}`));
        }
        present.forEach((key) => this.loadOf(key, nowMs));
        for (const [key, { outstanding }] of this.loads) {
            if (!present.has(key) && outstanding === 0) {
                this.loads.delete(key);
            }
        }
    }
}
