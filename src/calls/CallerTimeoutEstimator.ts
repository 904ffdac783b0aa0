/** The remaining times that callers of one route have stated. */
type RouteTimeouts = {
    readonly longestMs: number;
    readonly requests: number;
    /** How many requests had about the longest remaining time, and so were first attempts. */
    readonly firstAttempts: number;
};

/** Limit of the routes that are kept; the one that was added first is removed. */
const MAXIMUM_ROUTES = 1_000;

/** Smaller differences are transit time, not an earlier attempt. */
const TOLERANCE_MS = 20;

/**
 * Callers retry only a few times, so at least this share of their requests are first attempts. If fewer requests have
 * the longest remaining time, the times are not the callers' own: a call made while another request is served inherits
 * the time left for that one.
 */
const FIRST_ATTEMPT_SHARE = 0.2;

/** Counts are halved at this many requests, so that the estimate adapts to changes. */
const MAXIMUM_COUNTED_REQUESTS = 200;

const MINIMUM_REQUESTS = 10;

const withRequest = (current: RouteTimeouts | undefined, remainingMs: number): RouteTimeouts => {
    if (!current || remainingMs > current.longestMs + TOLERANCE_MS) {
        return { longestMs: remainingMs, requests: 1, firstAttempts: 1 };
    }
    const isFirst = remainingMs > current.longestMs - TOLERANCE_MS;
    const factor = current.requests >= MAXIMUM_COUNTED_REQUESTS ? 0.5 : 1;
    return {
        longestMs: Math.max(current.longestMs, remainingMs),
        requests: current.requests * factor + 1,
        firstAttempts: current.firstAttempts * factor + (isFirst ? 1 : 0),
    };
};

/**
 * Estimates the timeout of a route's callers as the longest remaining time that any of them has stated. A caller that
 * states less has made an earlier attempt, and its latency target counts from its first attempt.
 */
export class CallerTimeoutEstimator {
    private readonly routes = new Map<string, RouteTimeouts>();

    /** Records the remaining time that a caller stated. Returns the time since its first attempt, or 0 if unknown. */
    public elapsedMs(route: string, remainingMs: number): number {
        const timeouts = withRequest(this.routes.get(route), remainingMs);
        this.routes.set(route, timeouts);
        if (this.routes.size > MAXIMUM_ROUTES) {
            this.routes.delete([...this.routes.keys()][0]);
        }
        const isKnown = timeouts.requests >= MINIMUM_REQUESTS
            && timeouts.firstAttempts >= timeouts.requests * FIRST_ATTEMPT_SHARE;
        const elapsed = timeouts.longestMs - remainingMs;
        return isKnown && elapsed >= TOLERANCE_MS ? elapsed : 0;
    }
}
