/** Limits and timeouts of a framed connection. */
export enum TransportLimits {
    MaximumFrameBytes = 16_777_216,
    /** Bytes that may be buffered for a slow reader. The next message closes the connection instead. */
    MaximumPendingBytes = 33_554_432,
    HandshakeTimeoutMs = 3_000,
    ConnectTimeoutMs = 2_000,
    /** Default and shortest interval between heartbeats on an idle connection. The opener may request a longer one. */
    HeartbeatIntervalMs = 1_000,
    /** Longest interval that an opener may request, so that dead peers are detected before file descriptors run out. */
    MaximumHeartbeatIntervalMs = 30_000,
    /** A connection that receives nothing for this many heartbeat intervals is closed as dead. */
    MissedHeartbeatsUntilClose = 5,
}
