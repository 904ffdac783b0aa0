/** Bounds of a framed connection. */
export enum TransportLimits {
    MaximumFrameBytes = 16_777_216,
    /** Bytes that may wait for a slow reader before the connection is closed. */
    MaximumPendingBytes = 33_554_432,
    HandshakeTimeoutMs = 3_000,
    ConnectTimeoutMs = 2_000,
    /** How often an idle connection shows that it is alive, unless its opener asks for another pace. */
    HeartbeatIntervalMs = 1_000,
    /** The slowest pace that an opener may ask for: what is dead is found before a node's descriptors run out. */
    MaximumHeartbeatIntervalMs = 30_000,
    /** A connection with no frame for this many intervals is taken for dead. */
    SilentIntervals = 5,
}
