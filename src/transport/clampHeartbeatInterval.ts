import { TransportLimits } from "./TransportLimits";

/**
 * Limits the heartbeat interval that the opener of a connection requested.
 * @returns milliseconds; the default interval if none, a shorter one or no number was requested
 */
export const clampHeartbeatInterval = (requestedMs = 0): number =>
    requestedMs >= TransportLimits.HeartbeatIntervalMs
        ? Math.min(requestedMs, TransportLimits.MaximumHeartbeatIntervalMs)
        : TransportLimits.HeartbeatIntervalMs;
