/** Thresholds of the canary analysis. All but `suppressingShare` are scores in natural log-likelihood units. */
export const canaryThresholds = {
    /** The control plane rolls back from this score on. */
    rollBack: 12,
    /**
     * The control plane rolls back a rollout with a deadline from this score on. It is lower because the analysis then
     * has only seconds to detect a fault; it gives about one false alarm in e^8 batches.
     */
    rollBackBeforeDeadline: 8,
    /** A canary passes only below this score: rolling back a good version costs less than accepting a bad one. */
    passCanary: 4,
    /** A node stops sending requests to the candidate by itself from this score on. */
    suppress: 9,
    /** The control plane rolls back from this score on if a node suppresses the candidate as well. */
    rollBackIfSuppressed: 5,
    /** The control plane rolls back if this share of the proxies suppresses the candidate, whatever the score. */
    suppressingShare: 0.1,
} as const;
