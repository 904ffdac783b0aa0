/** What callers of one route had left. */
type RoutePatience = {
    readonly longestMs: number;
    readonly seen: number;
    /** How many had the longest time left: first attempts. */
    readonly atLongest: number;
};

/** Routes remembered; the least recently added are forgotten first. */
const MAXIMUM_ROUTES = 1_000;

/** Differences below this are the time on the way, not an earlier attempt. */
const TOLERANCE_MS = 20;

/**
 * Callers try a few times, so at least this part of their requests are first attempts. Where fewer have the longest
 * time left, the times are not those of callers: a call within another request has what that one has left.
 */
const FIRST_ATTEMPT_SHARE = 0.2;

/** Counts are halved at this many requests, so that what changes is learned anew. */
const COUNTED_REQUESTS = 200;

const MINIMUM_SEEN = 10;

const observed = (present: RoutePatience | undefined, remainingMs: number): RoutePatience => {
    if (!present || remainingMs > present.longestMs + TOLERANCE_MS) {
        return { longestMs: remainingMs, seen: 1, atLongest: 1 };
    }
    const isFirst = remainingMs > present.longestMs - TOLERANCE_MS;
    const factor = present.seen >= COUNTED_REQUESTS ? 0.5 : 1;
    return {
        longestMs: Math.max(present.longestMs, remainingMs),
        seen: present.seen * factor + 1,
        atLongest: present.atLongest * factor + (isFirst ? 1 : 0),
    };
};

/**
 * Learns how long callers of a route wait in all, from the most that any of them has had left. A caller that has less
 * left has tried before, and its target counts from its first attempt.
 */
export class CallerPatience {
    private readonly routes = new Map<string, RoutePatience>();

    /** Takes in what a caller has left, and returns the time since its first attempt. */
    public elapsedMs(route: string, remainingMs: number): number {
        const next = observed(this.routes.get(route), remainingMs);
        this.routes.set(route, next);
        if (this.routes.size > MAXIMUM_ROUTES) {
            this.routes.delete([...this.routes.keys()][0]);
        }
        const isKnown = next.seen >= MINIMUM_SEEN && next.atLongest >= next.seen * FIRST_ATTEMPT_SHARE;
        const elapsed = next.longestMs - remainingMs;
        return isKnown && elapsed >= TOLERANCE_MS ? elapsed : 0;
    }
}
