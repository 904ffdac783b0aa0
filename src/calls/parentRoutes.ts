/** What this host knows about the routes that its backend server calls while it serves requests. */
type ParentRoutesState = ReadonlyMap<string, CalledRoute>;

type CalledRoute = {
    /** The routes whose requests ran at the backend server when each of the latest calls arrived. */
    readonly samples: readonly (readonly string[])[];
    /** Routes of which at least one ran at each of these calls; empty while unknown. */
    readonly parents: readonly string[];
    readonly callsUntilUpdate: number;
};

/** Calls that are kept of each route. */
const SAMPLES = 64;

/** The parents are determined again after so many calls, from at least this many. */
const UPDATE_CALLS = 16;

/** Share of the calls at which no parent need run: the backend server may go on with a request that was given up. */
const UNEXPLAINED_SHARE = 0.05;

/** More parents than this explain any call, since requests of most routes run most of the time. */
const MAXIMUM_PARENTS = 3;

/** Limit of the called routes that are kept. */
const MAXIMUM_ROUTES = 200;

const unknown: CalledRoute = { samples: [], parents: [], callsUntilUpdate: UPDATE_CALLS };

const empty: ParentRoutesState = new Map();

const mostFrequent = (samples: readonly (readonly string[])[]): string | undefined => {
    const counts = new Map<string, number>();
    samples.forEach((routes) => routes.forEach((route) => counts.set(route, (counts.get(route) ?? 0) + 1)));
    return [...counts].reduce<readonly [string, number] | undefined>(
        (most, each) => (most && most[1] >= each[1] ? most : each),
        undefined,
    )?.[0];
};

/** Returns the fewest routes, found greedily, of which one ran at nearly each call; none if too many are needed. */
const findParents = (samples: readonly (readonly string[])[]): readonly string[] => {
    const parents: string[] = [];
    let unexplained = samples;
    while (unexplained.length > samples.length * UNEXPLAINED_SHARE) {
        const route = mostFrequent(unexplained);
        if (route === undefined || parents.length >= MAXIMUM_PARENTS) {
            return [];
        }
        parents.push(route);
        unexplained = unexplained.filter((routes) => !routes.includes(route));
    }
    return parents;
};

/**
 * Records a call of the route that arrived at this host.
 * @param running routes whose requests the backend server of this host runs at that time
 */
const record = (state: ParentRoutesState, route: string, running: readonly string[]): ParentRoutesState => {
    const { callsUntilUpdate, parents, samples } = state.get(route) ?? unknown;
    const kept = [...samples, running].slice(-SAMPLES);
    const isDue = callsUntilUpdate <= 1;
    const next = new Map(state).set(route, {
        samples: kept,
        parents: isDue ? findParents(kept) : parents,
        callsUntilUpdate: isDue ? UPDATE_CALLS : callsUntilUpdate - 1,
    });
    if (next.size > MAXIMUM_ROUTES) {
        next.delete([...next.keys()][0]);
    }
    return next;
};

const parentsOf = (state: ParentRoutesState, route: string): readonly string[] => state.get(route)?.parents ?? [];

/**
 * Finds the requests for which a backend server makes the calls of a route: calls name no parent, but one of its parents
 * is running whenever a call arrives, which holds for no other route over many calls.
 */
export const parentRoutes = { empty, record, parentsOf } as const;
