/** Size, time and connection limits for forwarding requests. */
export const proxyLimits = {
    maximumHeaderBytes: 32_768,
    /** Bodies up to this size are held in memory, so that the request can be retried; larger ones are streamed. */
    maximumHeldBodyBytes: 65_536,
    maximumBodyBytes: 104_857_600,
    connectTimeoutMs: 500,
    /** A connection that was idle for longer is not reused: its peer may have vanished unnoticed (half-open). */
    maximumIdleMs: 2_000,
    connectionsPerEndpoint: 32,
    /** For requests from other nodes: the default timeout, and the longest that they can ask for. */
    defaultTimeoutMs: 15_000,
    refusalRetryAfterMs: 250,
} as const;
