/** Timings of the membership protocol, in milliseconds. */
export const membershipTimings = {
    heartbeatIntervalMs: 1_000,
    /**
     * Delay between an update of the members and the choice of neighbours, so that one choice covers many updates.
     * Must be well below `suspectAfterMs`.
     */
    neighbourDelayMs: 50,
    /** A link must stay closed for this long before its peer is suspected. */
    suspectAfterMs: 2_000,
    /** A suspect that does not refute the suspicion within this time is marked as dead. */
    deadAfterMs: 3_000,
    /** Records of members that are dead or have left are kept this long, so that old records can't bring them back. */
    forgetAfterMs: 3_600_000,
} as const;
