/** Bounds of a framed connection. */
export enum TransportLimits {
    MaximumFrameBytes = 16_777_216,
    /** Bytes that may wait for a slow reader before the connection is closed. */
    MaximumPendingBytes = 33_554_432,
    HandshakeTimeoutMs = 3_000,
    ConnectTimeoutMs = 2_000,
    /** A connection with no frame for this long is taken for dead. */
    SilenceTimeoutMs = 5_000,
    HeartbeatIntervalMs = 1_000,
}
