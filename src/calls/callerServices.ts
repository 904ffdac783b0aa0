/** Which services the requests of each route come from, as seen at one backend server. */
type CallerServicesState = ReadonlyMap<string, RouteCallers>;

type RouteCallers = {
    readonly requests: number;
    readonly byService: ReadonlyMap<string, number>;
};

/** Requests of a route after which its callers are known. */
const MINIMUM_REQUESTS = 20;

/** Requests of a route that are counted. */
const MAXIMUM_REQUESTS = 1_000;

/** A route is nested if its requests come from so few services by chance with at most this probability. */
const CHANCE = 1e-4;

/** Limit of the routes, and of the services of each, that are kept. */
const MAXIMUM_ROUTES = 200;
const MAXIMUM_SERVICES = 64;

const unknown: RouteCallers = { requests: 0, byService: new Map() };

const empty: CallerServicesState = new Map();

/** Probability that as many requests, if they came from where those of the other route do, all came from these services. */
const chanceOf = ({ byService, requests }: RouteCallers, other: RouteCallers): number => {
    let shared = 0;
    byService.forEach((_, service) => {
        shared += other.byService.get(service) ?? 0;
    });
    return (shared / other.requests) ** requests;
};

/** @param service the service of the host from which the request came */
const record = (state: CallerServicesState, route: string, service: string): CallerServicesState => {
    const { byService, requests } = state.get(route) ?? unknown;
    const isKept = byService.has(service) || byService.size < MAXIMUM_SERVICES;
    if (!isKept || (byService.has(service) && requests >= MAXIMUM_REQUESTS)) {
        return state;
    }
    const next = new Map(state).set(route, {
        requests: requests + 1,
        byService: new Map(byService).set(service, (byService.get(service) ?? 0) + 1),
    });
    if (next.size > MAXIMUM_ROUTES) {
        next.delete([...next.keys()][0]);
    }
    return next;
};

/**
 * True if the requests of the route come from hosts of fewer services than those of another route: callers are on the
 * hosts of all services, and backend servers make calls from those of their own. Undefined after too few requests.
 */
const isNested = (state: CallerServicesState, route: string): boolean | undefined => {
    const callers = state.get(route) ?? unknown;
    if (callers.requests < MINIMUM_REQUESTS) {
        return undefined;
    }
    for (const other of state.values()) {
        if (other.requests >= MINIMUM_REQUESTS && chanceOf(callers, other) <= CHANCE) {
            return true;
        }
    }
    return false;
};

/** Learns which routes backend servers call while they serve requests of others. */
export const callerServices = { empty, record, isNested } as const;
