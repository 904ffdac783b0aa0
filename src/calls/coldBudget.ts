import { tokenBucket } from "./tokenBucket";

/** The rate that a cold backend server tolerates, and by how much all nodes together may exceed it. */
type ColdRate = {
    /** Requests a second that it tolerates while cold. */
    readonly perSecond: number;
    /** In any second it may get the tolerated rate times this, plus `slack`. */
    readonly overage: number;
    readonly slack: number;
};

/**
 * Requests that a backend server may get as long as it may be cold. The bucket is also kept while it counts as warm: it
 * then holds a debt, the requests beyond the tolerated rate since it was last known to be warm.
 */
type ColdBudget = {
    readonly bucket: ReturnType<typeof tokenBucket.create>;
    /** Largest debt while the backend server counts as warm. */
    readonly maximumDebt: number;
    /** When the latest requests were sent that it may have got while cold. */
    readonly unconfirmedMs: readonly number[];
};

/** A request may arrive this much later than it was sent, so that more requests arrive in a second than were sent. */
const ARRIVAL_JITTER_SECONDS = 0.1;

/** Statements about earlier times than this are not used, so that the list of requests stays short. */
const CONFIRMATION_WINDOW_MS = 1_500;

/** Share of the debt at which a health check is due; the rest is for requests that start until it has a response. */
const CHECK_SHARE = 0.5;

/**
 * Returns the largest debt. In any second of a cold phase at most one second's tokens, a full bucket and the debt are
 * sent. At least one request may be unconfirmed, or a warm backend server would get no more than a cold one.
 */
const maximumDebtOf = ({ overage, perSecond, slack }: ColdRate, bucket: ColdBudget["bucket"]): number =>
    Math.max(
        1,
        perSecond * overage + slack - bucket.rate * (1 + ARRIVAL_JITTER_SECONDS) - tokenBucket.capacityOf(bucket.rate),
    );

/** Returns a budget without tokens, since an earlier process of this node may have sent requests just before. */
const create = (rate: ColdRate, nowMs: number): ColdBudget => {
    const bucket = tokenBucket.create(rate.perSecond, nowMs);
    return { bucket, maximumDebt: maximumDebtOf(rate, bucket), unconfirmedMs: [] };
};

const changeRate = (budget: ColdBudget, rate: ColdRate, nowMs: number): ColdBudget => {
    const bucket = tokenBucket.changeLimit(budget.bucket, rate.perSecond, nowMs);
    return { ...budget, bucket, maximumDebt: maximumDebtOf(rate, bucket) };
};

/** Takes the token of a request that is sent. */
const take = (budget: ColdBudget, nowMs: number): ColdBudget => ({
    ...budget,
    bucket: tokenBucket.take(budget.bucket, nowMs),
    unconfirmedMs: [...budget.unconfirmedMs.filter((ms) => ms > nowMs - CONFIRMATION_WINDOW_MS), nowMs],
});

/** Time until `count` requests may have been sent, to a backend server that counts as cold or warm. */
const waitMs = ({ bucket, maximumDebt }: ColdBudget, isCold: boolean, count: number, nowMs: number): number =>
    tokenBucket.waitMs(bucket, isCold ? count : count - maximumDebt, nowMs);

/**
 * Fills the bucket, except for requests that were sent after the backend server was certainly warm. What it may get
 * when it becomes cold then is the same as if it had got no requests before.
 */
const confirmWarm = (budget: ColdBudget, warmAtMs: number, nowMs: number): ColdBudget => {
    if (warmAtMs < nowMs - CONFIRMATION_WINDOW_MS) {
        return budget;
    }
    const unconfirmedMs = budget.unconfirmedMs.filter((ms) => ms >= warmAtMs);
    const tokens = tokenBucket.capacityOf(budget.bucket.rate) - unconfirmedMs.length;
    return { ...budget, unconfirmedMs, bucket: tokenBucket.raise(budget.bucket, tokens, nowMs) };
};

/** True if enough requests were sent to a backend server that counts as warm that it has to confirm that. */
const needsConfirmation = ({ bucket, maximumDebt }: ColdBudget, nowMs: number): boolean =>
    tokenBucket.waitMs(bucket, Math.max(1 - maximumDebt, -maximumDebt * CHECK_SHARE), nowMs) > 0;

/** Bounds the requests that a backend server gets in any second of a cold phase, noticed or not. */
export const coldBudget = { create, changeRate, take, waitMs, confirmWarm, needsConfirmation } as const;
