import { TransportLimits } from "./TransportLimits";

/**
 * Limits the heartbeat interval that the opener of a connection requested.
 * @returns milliseconds; the default interval if the requested one is missing, shorter than the default or not a number
 */
export const clampHeartbeatInterval = (requestedMs = 0): number =>
    requestedMs >= TransportLimits.HeartbeatIntervalMs
        ? Math.min(requestedMs, TransportLimits.MaximumHeartbeatIntervalMs)
        : TransportLimits.HeartbeatIntervalMs;
