/** Token bucket that limits the rate of new subscriptions. */
export type SubscriptionAdmission = {
    /** New subscriptions that may be admitted at `updatedAtMs`. Negative after subscriptions were turned away. */
    readonly tokens: number;
    /** Monotonic time in milliseconds. */
    readonly updatedAtMs: number;
};
