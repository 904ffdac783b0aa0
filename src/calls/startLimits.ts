import { coldBudget } from "./coldBudget";
import { coldness } from "./coldness";
import { tokenBucket } from "./tokenBucket";

type ColdRate = Parameters<typeof coldBudget.create>[0];

/** The limits on how many requests a backend server gets in a time. A request needs the permission of all of them. */
type StartLimits = {
    /** The limit that it states itself, in requests a second. */
    readonly statedPerSecond: number | undefined;
    readonly stated: ReturnType<typeof tokenBucket.create> | undefined;
    readonly coldness: typeof coldness.unknown;
    /** Undefined if its service has no limit for cold backend servers. */
    readonly cold: { readonly rate: ColdRate; readonly budget: ReturnType<typeof coldBudget.create>; } | undefined;
    /** Until when the capacity of a cold backend server has been promised to callers in retry-after times. */
    readonly promisedUntilMs: number;
};

/** The lowest limit in effect. */
type EffectiveLimit = {
    readonly perSecond: number;
    readonly reason: "stated" | "cold";
};

/** By then a heartbeat has told whether a backend server is cold that may be. */
const UNCERTAIN_MS = 1_500;

const none: StartLimits = {
    statedPerSecond: undefined,
    stated: undefined,
    coldness: coldness.unknown,
    cold: undefined,
    promisedUntilMs: 0,
};

/** Applies the limit that the backend server states, undefined for none. */
const applyStated = (limits: StartLimits, perSecond: number | undefined, nowMs: number): StartLimits => {
    if (perSecond === undefined) {
        return { ...limits, statedPerSecond: undefined, stated: undefined };
    }
    const stated = limits.stated
        ? tokenBucket.changeLimit(limits.stated, perSecond, nowMs)
        : tokenBucket.create(perSecond, nowMs);
    return { ...limits, statedPerSecond: perSecond, stated };
};

const isSameRate = (left: ColdRate, right: ColdRate): boolean =>
    left.perSecond === right.perSecond && left.overage === right.overage && left.slack === right.slack;

/** Applies the rate that the service's backend servers tolerate while cold, undefined for any. */
const applyColdRate = (limits: StartLimits, rate: ColdRate | undefined, nowMs: number): StartLimits => {
    const { cold } = limits;
    if (!rate || !cold) {
        return { ...limits, cold: rate && { rate, budget: coldBudget.create(rate, nowMs) } };
    }
    return isSameRate(cold.rate, rate)
        ? limits
        : { ...limits, cold: { rate, budget: coldBudget.changeRate(cold.budget, rate, nowMs) } };
};

/** True if the limit for cold backend servers is in effect. */
const isCold = (limits: StartLimits, nowMs: number): boolean =>
    limits.cold !== undefined && coldness.isCold(limits.coldness, nowMs);

/** Applies what the backend server states about its warm-up. */
const applyStatement = (
    limits: StartLimits,
    statement: Parameters<typeof coldness.state>[1],
    nowMs: number,
): StartLimits => {
    const next = { ...limits, coldness: coldness.state(limits.coldness, statement, nowMs) };
    if (!next.cold || isCold(next, nowMs)) {
        return next;
    }
    const budget = coldBudget.confirmWarm(next.cold.budget, statement.notBeforeMs, nowMs);
    return { ...next, cold: { ...next.cold, budget } };
};

/** Notes that the backend server may have restarted. */
const suspect = (limits: StartLimits, nowMs: number): StartLimits => ({
    ...limits,
    coldness: coldness.suspect(limits.coldness, nowMs),
});

/** Forgets what an earlier start of the backend server stated. Requests that were sent to it still count. */
const restart = (limits: StartLimits): StartLimits => ({ ...none, cold: limits.cold });

const statedWaitMs = ({ stated }: StartLimits, ahead: number, nowMs: number): number =>
    stated ? tokenBucket.waitMs(stated, ahead + 1, nowMs) : 0;

const coldWaitMs = (limits: StartLimits, ahead: number, nowMs: number): number =>
    limits.cold ? coldBudget.waitMs(limits.cold.budget, isCold(limits, nowMs), ahead + 1, nowMs) : 0;

/** Time until the limits allow a request with `ahead` others in front of it. */
const waitMs = (limits: StartLimits, ahead: number, nowMs: number): number =>
    Math.max(statedWaitMs(limits, ahead, nowMs), coldWaitMs(limits, ahead, nowMs));

/**
 * The same as expected: a backend server that counts as warm is about to confirm that.
 * @param checkMs how long a health check takes
 */
const expectedWaitMs = (limits: StartLimits, ahead: number, checkMs: number, nowMs: number): number => {
    const coldMs = coldWaitMs(limits, ahead, nowMs);
    const expectedColdMs = isCold(limits, nowMs) ? coldMs : Math.min(checkMs, coldMs);
    return Math.max(statedWaitMs(limits, ahead, nowMs), expectedColdMs);
};

/** Takes the tokens of a request that starts. */
const take = (limits: StartLimits, nowMs: number): StartLimits => {
    const { cold, stated } = limits;
    if (!cold && !stated) {
        return limits;
    }
    return {
        ...limits,
        stated: stated && tokenBucket.take(stated, nowMs),
        cold: cold && { ...cold, budget: coldBudget.take(cold.budget, nowMs) },
    };
};

const inEffect = (limits: StartLimits, nowMs: number): EffectiveLimit | undefined => {
    const { cold, statedPerSecond } = limits;
    if (cold && isCold(limits, nowMs) && cold.rate.perSecond < (statedPerSecond ?? Number.POSITIVE_INFINITY)) {
        return { perSecond: cold.rate.perSecond, reason: "cold" };
    }
    return statedPerSecond === undefined ? undefined : { perSecond: statedPerSecond, reason: "stated" };
};

/** Time until the limits in effect allow so many requests more; undefined without a limit. */
const pacingMs = (limits: StartLimits, count: number, nowMs: number): number | undefined => {
    if (!inEffect(limits, nowMs)) {
        return undefined;
    }
    return isCold(limits, nowMs) ? waitMs(limits, count - 1, nowMs) : statedWaitMs(limits, count - 1, nowMs);
};

/**
 * Returns when a refused caller of a cold backend server may try again, and promises it that capacity, so that callers
 * return one after the other. Promises begin anew once they cover the warm-up.
 * @param earliestMs time until there is capacity as far as accepted requests are concerned
 */
const promise = (limits: StartLimits, earliestMs: number, nowMs: number) => {
    const { cold, coldness: { statedUntilMs, uncertainSinceMs } } = limits;
    if (!cold || !isCold(limits, nowMs)) {
        return { limits, retryAfterMs: earliestMs };
    }
    const knownMs = uncertainSinceMs === undefined ? 0 : UNCERTAIN_MS;
    const warmUpMs = Math.max(statedUntilMs - nowMs, knownMs);
    const promisedMs = limits.promisedUntilMs - nowMs;
    const retryAfterMs = promisedMs > warmUpMs ? earliestMs : Math.max(earliestMs, promisedMs);
    const promisedUntilMs = nowMs + retryAfterMs + 1_000 / cold.rate.perSecond;
    return { limits: { ...limits, promisedUntilMs }, retryAfterMs };
};

/**
 * True if a health check is needed: the backend server counts as warm and has to confirm that, or it may have become
 * cold and requests are held back for that.
 */
const needsCheck = (limits: StartLimits, hasDemand: boolean, nowMs: number): boolean => {
    if (!limits.cold || coldness.isStated(limits.coldness, nowMs)) {
        return false;
    }
    return isCold(limits, nowMs) ? hasDemand : coldBudget.needsConfirmation(limits.cold.budget, nowMs);
};

/** Limits the rate of requests to a backend server: by its own statement, and while it is cold. */
export const startLimits = {
    none,
    applyStated,
    applyColdRate,
    applyStatement,
    suspect,
    restart,
    isCold,
    waitMs,
    expectedWaitMs,
    take,
    inEffect,
    pacingMs,
    promise,
    needsCheck,
} as const;
