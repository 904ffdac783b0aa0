import { TransportLimits } from "./TransportLimits";

/** The pace in ms at which an idle connection shows that it is alive, from what its opener asked for, if anything. */
export const heartbeatPace = (askedMs = 0): number =>
    askedMs >= TransportLimits.HeartbeatIntervalMs
        ? Math.min(askedMs, TransportLimits.MaximumHeartbeatIntervalMs)
        : TransportLimits.HeartbeatIntervalMs;
