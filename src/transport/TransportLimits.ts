/** Limits and timeouts of a framed connection. */
export enum TransportLimits {
    MaximumFrameBytes = 16_777_216,
    /** Limit of a frame from a peer that has not authenticated. */
    MaximumHandshakeFrameBytes = 4_096,
    /** Unfinished frames below this size are not counted against the limit of all connections. */
    MinimumCountedFrameBytes = 65_536,
    /** Bytes that may be buffered for a slow reader. Sending while more are buffered closes the connection. */
    MaximumPendingBytes = 33_554_432,
    /** Limit of the handshake for the process that accepts a connection. */
    HandshakeTimeoutMs = 3_000,
    /** Limit of connecting and the handshake together for the process that opens a connection. */
    ConnectTimeoutMs = 2_000,
    /** Default and shortest interval between heartbeats on an idle connection. The opener may request a longer one. */
    HeartbeatIntervalMs = 1_000,
    /** Longest interval that an opener may request, so that dead peers are detected before file descriptors run out. */
    MaximumHeartbeatIntervalMs = 30_000,
    /** A connection that receives nothing for this many heartbeat intervals is closed as dead. */
    MissedHeartbeatsUntilClose = 5,
}
