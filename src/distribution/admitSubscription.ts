import { distributionTimings } from "./distributionTimings";
import { SubscriptionAdmission } from "./SubscriptionAdmission";

type Result = {
    readonly admission: SubscriptionAdmission;
    /** 0 if admitted, otherwise how long the child should wait before it retries, in milliseconds. */
    readonly retryAfterMs: number;
};

/**
 * Admits a new subscription by a token bucket or computes when the child should retry. Retries are spread at random
 * around the time that the parent needs for the children turned away before.
 * @param nowMs monotonic time in milliseconds
 * @param fraction a random number in [0, 1)
 */
export const admitSubscription = (admission: SubscriptionAdmission, nowMs: number, fraction: number): Result => {
    const { subscriptionBurst, subscriptionsPerSecond } = distributionTimings;
    const refilled = ((nowMs - admission.updatedAtMs) / 1_000) * subscriptionsPerSecond;
    // Tokens may become negative: the deficit is the number of children that were turned away and will retry,
    // counted up to two seconds' worth of admissions.
    const tokens = Math.min(subscriptionBurst, admission.tokens + refilled) - 1;
    if (tokens >= 0) {
        return { admission: { tokens, updatedAtMs: nowMs }, retryAfterMs: 0 };
    }
    const queueMs = (-tokens / subscriptionsPerSecond) * 1_000;
    const limitedTokens = Math.max(tokens, -subscriptionsPerSecond * 2);
    return {
        admission: { tokens: limitedTokens, updatedAtMs: nowMs },
        retryAfterMs: Math.ceil(queueMs * (0.5 + fraction)),
    };
};
