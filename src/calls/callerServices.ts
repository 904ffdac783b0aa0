/** Which services the requests of each route come from, as seen at one backend server. */
type CallerServicesState = ReadonlyMap<string, RouteCallers>;

type RouteCallers = {
    readonly requests: number;
    readonly services: ReadonlySet<string>;
};

/** Requests of a route after which its callers are known. */
const MINIMUM_REQUESTS = 20;

/** Limit of the routes, and of the services of each, that are kept. */
const MAXIMUM_ROUTES = 200;
const MAXIMUM_SERVICES = 64;

const empty: CallerServicesState = new Map();

/** @param service the service of the host from which the request came */
const record = (state: CallerServicesState, route: string, service: string): CallerServicesState => {
    const { requests = 0, services = new Set<string>() } = state.get(route) ?? {};
    const isKnown = services.has(service) || services.size >= MAXIMUM_SERVICES;
    if (isKnown && requests >= MINIMUM_REQUESTS) {
        return state;
    }
    const next = new Map(state).set(route, {
        requests: requests + 1,
        services: isKnown ? services : new Set([...services, service]),
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
    const { requests = 0, services = new Set() } = state.get(route) ?? {};
    return requests < MINIMUM_REQUESTS
        ? undefined
        : [...state.values()].some((other) => other.services.size > services.size);
};

/** Learns which routes backend servers call while they serve requests of others. */
export const callerServices = { empty, record, isNested } as const;
