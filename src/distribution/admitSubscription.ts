import { distributionTimings } from "./distributionTimings";
import { SubscriptionAdmission } from "./SubscriptionAdmission";

type Result = {
    readonly admission: SubscriptionAdmission;
    /** 0 if admitted, else how long the child should wait, in milliseconds. */
    readonly retryAfterMs: number;
};

/**
 * Admits a new subscription or tells the child when to come back. Those turned away are spread over the time
 * that the parent needs for those before them.
 * @param fraction a random number in [0, 1)
 */
export const admitSubscription = (admission: SubscriptionAdmission, nowMs: number, fraction: number): Result => {
    const { subscriptionBurst, subscriptionsPerSecond } = distributionTimings;
    const refilled = ((nowMs - admission.updatedAtMs) / 1_000) * subscriptionsPerSecond;
    // Tokens may fall below zero: the debt is the length of the queue that was turned away.
    const tokens = Math.min(subscriptionBurst, admission.tokens + refilled) - 1;
    if (tokens >= 0) {
        return { admission: { tokens, updatedAtMs: nowMs }, retryAfterMs: 0 };
    }
    const queueMs = (-tokens / subscriptionsPerSecond) * 1_000;
    const debt = Math.max(tokens, -subscriptionsPerSecond * 2);
    return { admission: { tokens: debt, updatedAtMs: nowMs }, retryAfterMs: Math.ceil(queueMs * (0.5 + fraction)) };
};
