/** Bounds of the call path. */
export const proxyLimits = {
    maximumHeaderBytes: 32_768,
    /** Bodies of at most this size are held, so that a request that did not run can be sent again. */
    maximumHeldBodyBytes: 65_536,
    maximumBodyBytes: 104_857_600,
    connectTimeoutMs: 500,
    /** A connection that was idle for longer may have gone silent and is not used again. */
    maximumIdleMs: 2_000,
    connectionsPerEndpoint: 32,
    defaultTimeoutMs: 15_000,
    refusalRetryAfterMs: 250,
} as const;
