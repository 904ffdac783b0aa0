/** Requests that may start under a rate limit. Times are those of the node's monotonic clock. */
type TokenBucket = {
    /** Requests a second. */
    readonly rate: number;
    /** Requests that may start at `updatedAtMs`; a fraction is part of the next one. */
    readonly tokens: number;
    readonly updatedAtMs: number;
};

/** Longest time for which unused tokens are kept: a backend server in need is spared bursts. */
const BURST_SECONDS = 0.25;

/** One request may always start once the bucket is full, whatever the rate. */
const MINIMUM_CAPACITY = 1;

/**
 * A backend server that takes no requests at all would never answer one and so could not say that it takes them again.
 * It gets a probe request in this many seconds.
 */
const PROBE_INTERVAL_SECONDS = 2;

/** Most tokens that a bucket of the rate holds. */
const capacityOf = (rate: number): number => Math.max(MINIMUM_CAPACITY, rate * BURST_SECONDS);

/** Returns a bucket for a stated limit that holds no tokens yet, since requests are running already. */
const create = (limitPerSecond: number, nowMs: number): TokenBucket => ({
    rate: Math.max(limitPerSecond, 1 / PROBE_INTERVAL_SECONDS),
    tokens: 0,
    updatedAtMs: nowMs,
});

const refill = (bucket: TokenBucket, nowMs: number): TokenBucket => {
    const { rate, tokens, updatedAtMs } = bucket;
    const added = (Math.max(0, nowMs - updatedAtMs) / 1_000) * rate;
    return { rate, tokens: Math.min(capacityOf(rate), tokens + added), updatedAtMs: nowMs };
};

/** Returns the bucket with another limit, and the tokens that it has. */
const changeLimit = (bucket: TokenBucket, limitPerSecond: number, nowMs: number): TokenBucket => ({
    ...create(limitPerSecond, nowMs),
    tokens: Math.min(refill(bucket, nowMs).tokens, capacityOf(limitPerSecond)),
});

/** Time until `count` requests may have started. */
const waitMs = (bucket: TokenBucket, count: number, nowMs: number): number => {
    const { rate, tokens } = refill(bucket, nowMs);
    return (Math.max(0, count - tokens) / rate) * 1_000;
};

/** Takes the token of a request that starts. */
const take = (bucket: TokenBucket, nowMs: number): TokenBucket => {
    const refilled = refill(bucket, nowMs);
    return { ...refilled, tokens: refilled.tokens - 1 };
};

/** Raises the tokens to at least the given number, which may be negative. */
const raise = (bucket: TokenBucket, tokens: number, nowMs: number): TokenBucket => {
    const refilled = refill(bucket, nowMs);
    return { ...refilled, tokens: Math.max(refilled.tokens, tokens) };
};

/** Limits how many requests start in a time (token bucket). */
export const tokenBucket = { create, changeLimit, capacityOf, waitMs, take, raise } as const;
