/** Moving averages of how long requests hold a slot of a backend server. */
type ServiceTimes = {
    readonly serviceMs: number;
    /** Number of requests in the moving average. */
    readonly samples: number;
    /** The same moving average by route, since requests of one route take similar time. */
    readonly routeServiceMs: ReadonlyMap<string, number>;
    /** Refusals since the last sample of a route, see `doubt`. */
    readonly doubts: ReadonlyMap<string, number>;
};

/** Assumed until requests have finished: a medium request of an ordinary service. */
const INITIAL_SERVICE_MS = 50;

/** Least weight of a new sample in the moving averages: about the last 20 requests count. */
const SERVICE_TIME_WEIGHT = 0.05;

/** Limit of the routes of one service whose service times are kept. */
const MAXIMUM_ROUTES = 200;

const initial: ServiceTimes = {
    serviceMs: INITIAL_SERVICE_MS,
    samples: 0,
    routeServiceMs: new Map(),
    doubts: new Map(),
};

const movingAverage = (current: number | undefined, sample: number): number =>
    current === undefined ? sample : current + SERVICE_TIME_WEIGHT * (sample - current);

/** Stores a value of a route. Beyond the limit, the route that was added first is removed. */
const withRoute = (current: ReadonlyMap<string, number>, route: string, value: number): ReadonlyMap<string, number> => {
    const next = new Map(current).set(route, value);
    if (next.size > MAXIMUM_ROUTES) {
        next.delete([...next.keys()][0]);
    }
    return next;
};

const withoutRoute = (current: ReadonlyMap<string, number>, route: string): ReadonlyMap<string, number> => {
    if (!current.has(route)) {
        return current;
    }
    const next = new Map(current);
    next.delete(route);
    return next;
};

/** Adds the time that a request held its slot. */
const record = (current: ServiceTimes, route: string, sampleMs: number): ServiceTimes => {
    const routeAverageMs = movingAverage(current.routeServiceMs.get(route), sampleMs);
    const samples = current.samples + 1;
    const routeServiceMs = withRoute(current.routeServiceMs, route, routeAverageMs);
    const weight = Math.max(SERVICE_TIME_WEIGHT, 1 / samples);
    return {
        serviceMs: current.serviceMs + weight * (sampleMs - current.serviceMs),
        samples,
        routeServiceMs,
        doubts: withoutRoute(current.doubts, route),
    };
};

/**
 * Records that a request was refused because requests of its route run long. The average of the route is forgotten after
 * as many refusals without a sample as samples count: if it is too high, nothing else would correct it under load.
 */
const doubt = (current: ServiceTimes, route: string): ServiceTimes => {
    const doubts = (current.doubts.get(route) ?? 0) + 1;
    if (doubts * SERVICE_TIME_WEIGHT < 1) {
        return { ...current, doubts: withRoute(current.doubts, route, doubts) };
    }
    return {
        ...current,
        doubts: withoutRoute(current.doubts, route),
        routeServiceMs: withoutRoute(current.routeServiceMs, route),
    };
};

/** Averages the times that requests hold a slot. */
export const serviceTimes = { initial, record, doubt } as const;
