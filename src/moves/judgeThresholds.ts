/** Strengths of suspicion, in natural log-likelihood. */
export const judgeThresholds = {
    /** Control takes a move back. */
    takeBack: 12,
    /** Control takes a move with a deadline back: it must be caught in a trial of seconds. About one false alarm in e^8 batches. */
    takeBackBeforeDeadline: 8,
    /** A trial passes only below this: a good version taken back costs less than a bad one let through. */
    passTrial: 4,
    /** A node stops sending to the candidate on its own. */
    suppress: 9,
    /** Control takes a move back if a node suppresses it as well. */
    supported: 5,
    /** The share of proxies whose own suppression is enough to take a move back. */
    suppressingShare: 0.1,
} as const;
