/** Timers of the membership, in milliseconds. */
export const membershipTimings = {
    heartbeatIntervalMs: 1_000,
    /** Links follow news of members after this time: well below the time after which members are suspected. */
    neighbourDelayMs: 50,
    /** A link must stay closed for this long before its peer is suspected. */
    suspectAfterMs: 2_000,
    /** A suspect that does not answer within this time is taken for dead. */
    deadAfterMs: 3_000,
    /** Records of members that are gone are kept this long, so that old news can't bring them back. */
    forgetAfterMs: 3_600_000,
} as const;
