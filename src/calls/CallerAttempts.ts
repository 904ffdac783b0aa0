import { createHash } from "node:crypto";

/** What stays the same when a caller sends a request again. */
type RepeatedRequest = {
    readonly method: string;
    readonly host: string;
    /** Path and query. */
    readonly target: string;
    /** Time of the monotonic clock until which the caller waits for a response, over all of its attempts. */
    readonly callerDeadlineMs: number;
};

type Attempt = {
    readonly firstSentMs: number;
    readonly callerDeadlineMs: number;
};

/** Two attempts state the same deadline up to this difference: their times in transit and until they were read differ. */
const TOLERANCE_MS = 50;

/** Limit of the requests that are kept; the one that was added first is removed. */
const MAXIMUM_REQUESTS = 4_096;

/** Of a size that does not depend on the request. */
const digestOf = ({ host, method, target }: RepeatedRequest): string =>
    createHash("sha256").update(JSON.stringify([method, host, target])).digest("base64url");

/** The key of requests whose deadline is in the same period as long as the tolerance, or some periods later. */
const keyOf = (digest: string, { callerDeadlineMs }: RepeatedRequest, periods = 0): string =>
    `${Math.floor(callerDeadlineMs / TOLERANCE_MS) + periods}/${digest}`;

/**
 * Remembers requests that were not served, so that their next attempts are known: the latency target of a caller's request
 * counts from its first attempt. An attempt repeats method, host and target, and the time that it states ends with that
 * of the first one. Each unserved attempt explains one later attempt at most.
 */
export class CallerAttempts {
    private readonly attempts = new Map<string, Attempt>();

    /** Returns when the caller of a request that arrives sent it first, as far as this host knows. */
    public take(request: RepeatedRequest, arrivedMs: number): number {
        if (this.attempts.size === 0) {
            return arrivedMs;
        }
        const digest = digestOf(request);
        const differenceOf = (key: string): number =>
            Math.abs((this.attempts.get(key)?.callerDeadlineMs ?? Infinity) - request.callerDeadlineMs);
        const nearest = [0, -1, 1].map((periods) => keyOf(digest, request, periods))
            .reduce((best, key) => (differenceOf(key) < differenceOf(best) ? key : best));
        const attempt = this.attempts.get(nearest);
        if (!attempt || differenceOf(nearest) > TOLERANCE_MS) {
            return arrivedMs;
        }
        this.attempts.delete(nearest);
        return Math.min(attempt.firstSentMs, arrivedMs);
    }

    /** Records that a request was not served. Its caller may send it again. */
    public remember(request: RepeatedRequest, firstSentMs: number, nowMs: number): void {
        const { callerDeadlineMs } = request;
        const key = keyOf(digestOf(request), request);
        this.attempts.delete(key);
        this.attempts.set(key, { firstSentMs, callerDeadlineMs });
        for (const [oldest, attempt] of this.attempts) {
            if (attempt.callerDeadlineMs > nowMs && this.attempts.size <= MAXIMUM_REQUESTS) {
                break;
            }
            this.attempts.delete(oldest);
        }
    }
}
