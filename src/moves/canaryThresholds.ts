/**
 * Thresholds of the canary analysis. All but `suppressingShare` are scores: sums of natural log-likelihood ratios.
 * `ServiceRolloutTask` uses `rollBackBeforeDeadline` and `passCanary`; `RolloutTask` uses the other thresholds of the
 * control plane, also for rollouts with a completion time.
 */
export const canaryThresholds = {
    /** The control plane rolls back a rollout from this score on. */
    rollBack: 12,
    /**
     * A rollout that must be decided by a deadline is rolled back from this score on. It is lower than `rollBack`,
     * since the analysis then has only seconds to detect a fault. It gives about one false alarm in e^8 batches.
     */
    rollBackBeforeDeadline: 8,
    /** A canary passes only below this score: rolling back a good version costs less than accepting a bad one. */
    passCanary: 4,
    /** A proxy suppresses the candidate (stops sending requests to it) by itself from this score on. */
    suppress: 9,
    /** The control plane rolls back a rollout from this score on if a proxy suppresses the candidate as well. */
    rollBackIfSuppressed: 5,
    /** The control plane rolls back a rollout at any score if this share of the proxies suppresses the candidate. */
    suppressingShare: 0.1,
} as const;
