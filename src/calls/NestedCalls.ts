import { parentRoutes } from "./parentRoutes";

/** Requests of a route that run at the backend server of this host. */
type RunningRoute = { readonly count: number; readonly priority: number; };

/** Limit of the routes that are known to be called by backend servers. */
const MAXIMUM_ROUTES = 200;

/**
 * Gives calls that the backend server of this host makes while it serves a request the priority of that request. Which
 * routes it calls so is learned from the backend servers that are called, see `callerServices`.
 */
export class NestedCalls {
    private readonly nestedRoutes = new Set<string>();
    private readonly running = new Map<string, RunningRoute>();
    private parents = parentRoutes.empty;

    /** Records what a backend server reports about the requests of a route, see `BackendLoad`. */
    public learn(route: string, isNested: boolean): void {
        if (!isNested) {
            this.nestedRoutes.delete(route);
        }
        else if (this.nestedRoutes.size < MAXIMUM_ROUTES) {
            this.nestedRoutes.add(route);
        }
    }

    /** True if backend servers make the requests of the route while they serve others. */
    public isNested(route: string): boolean {
        return this.nestedRoutes.has(route);
    }

    /** Records that the backend server begins to run a request. Returns a function to call when it has ended. */
    public begin(route: string, priority: number): () => void {
        this.running.set(route, { count: (this.running.get(route)?.count ?? 0) + 1, priority });
        return () => {
            const { count = 1 } = this.running.get(route) ?? {};
            if (count > 1) {
                this.running.set(route, { count: count - 1, priority });
            }
            else {
                this.running.delete(route);
            }
        };
    }

    /**
     * Returns the priority of a request that arrived at this host: for a nested call that of the most urgent request
     * which may have made it, otherwise the priority of its own route.
     */
    public priorityOf(route: string, routePriority: number): number {
        if (!this.nestedRoutes.has(route)) {
            return routePriority;
        }
        this.parents = parentRoutes.record(this.parents, route, [...this.running.keys()]);
        const priorities = parentRoutes.parentsOf(this.parents, route).flatMap((parent) =>
            this.running.get(parent)?.priority ?? []
        );
        return priorities.length > 0 ? Math.min(...priorities) : routePriority;
    }
}
