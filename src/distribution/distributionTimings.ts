/** Timings and rate limits of the distribution of configuration and reports. */
export const distributionTimings = {
    /** Interval at which changed reports of a subtree are sent to the parent. */
    reportIntervalMs: 100,
    /** A child that rejected an update subscribes again after this time. */
    resubscribeDelayMs: 1_000,
    /** Interval at which a parent tells its children the source revision that they have reached. */
    caughtUpIntervalMs: 1_000,
    /** New subscriptions that a parent admits per second; further children are told to retry later. */
    subscriptionsPerSecond: 200,
    /** New subscriptions that a parent admits at once after a quiet period. */
    subscriptionBurst: 100,
    /**
     * A parent that could not be reached is skipped for this long. The time doubles with each further failure, up to
     * `avoidParentLimitMs`.
     */
    avoidParentMs: 1_000,
    avoidParentLimitMs: 10_000,
    /** Interval at which a child checks whether a better parent than the current one may be used. */
    reconsiderParentMs: 5_000,
    /** A child tries the next parent when the link to its parent has been closed for this long. */
    parentTimeoutMs: 1_000,
} as const;
