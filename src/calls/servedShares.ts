/** How many requests of each route ended here lately, and how many of them were served. Older ones count less. */
type ServedSharesState = {
    readonly routes: ReadonlyMap<string, Counts>;
    readonly all: Counts;
};

type Counts = {
    readonly ended: number;
    readonly served: number;
    readonly updatedAtMs: number;
};

/** A request counts half after this time. */
const HALF_LIFE_MS = 1_000;

/** With fewer recent requests of a route its share says little. */
const MINIMUM_REQUESTS = 3;

/**
 * A route is starved if it is served less than this share as often as all here. No route is to be served less than a
 * quarter as often as those of all services, which are served more often than those of one that is short.
 */
const STARVED_SHARE = 1 / 2;

/** Limit of the routes that are kept. */
const MAXIMUM_ROUTES = 200;

const none: Counts = { ended: 0, served: 0, updatedAtMs: 0 };

const empty: ServedSharesState = { routes: new Map(), all: none };

const decay = ({ ended, served, updatedAtMs }: Counts, nowMs: number): Counts => {
    const factor = 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
    return { ended: ended * factor, served: served * factor, updatedAtMs: nowMs };
};

const add = (counts: Counts, isServed: boolean, nowMs: number): Counts => {
    const { ended, served, updatedAtMs } = decay(counts, nowMs);
    return { ended: ended + 1, served: served + (isServed ? 1 : 0), updatedAtMs };
};

/**
 * Records that a request got a slot, or that it was refused for want of one and is not tried elsewhere.
 * @param route undefined if the request counts only for all routes together
 */
const record = (
    { all, routes }: ServedSharesState,
    route: string | undefined,
    isServed: boolean,
    nowMs: number,
): ServedSharesState => {
    if (route === undefined) {
        return { routes, all: add(all, isServed, nowMs) };
    }
    const next = new Map(routes).set(route, add(routes.get(route) ?? none, isServed, nowMs));
    if (next.size > MAXIMUM_ROUTES) {
        next.delete([...next.keys()][0]);
    }
    return { routes: next, all: add(all, isServed, nowMs) };
};

/** The share of its requests below which a route is starved. */
const minimumShare = ({ all }: ServedSharesState): number =>
    all.ended > 0 ? (STARVED_SHARE * all.served) / all.ended : 0;

const isStarved = (state: ServedSharesState, route: string, nowMs: number): boolean => {
    const { ended, served } = decay(state.routes.get(route) ?? none, nowMs);
    return ended >= MINIMUM_REQUESTS && served / ended < minimumShare(state);
};

/** Finds the routes that more urgent ones leave too little of a backend server. */
export const servedShares = { empty, record, minimumShare, isStarved } as const;
