/** Timers and rates of the distribution. */
export const distributionTimings = {
    /** Reports of a subtree are gathered this long before they go up. */
    reportIntervalMs: 100,
    /** A child that refused an update asks again after this time. */
    resubscribeDelayMs: 1_000,
    caughtUpIntervalMs: 1_000,
    /** New subscriptions that a parent serves each second; more are told to come back. */
    subscriptionsPerSecond: 200,
    subscriptionBurst: 100,
    /** A parent that could not be reached is passed over for this long, and twice as long each further time. */
    avoidParentMs: 1_000,
    avoidParentLimitMs: 10_000,
    /** A child tries its best parent again after this time on a worse one. */
    reconsiderParentMs: 5_000,
    /** Without an open parent for this long, the next one is tried. */
    parentTimeoutMs: 1_000,
} as const;
