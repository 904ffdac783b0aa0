/** How the requests of a service and class fare in this zone, smoothed over time. */
export type ZonePressure = {
    /** Probability that a request would be late or refused here, 0 to 1. */
    readonly lateShare: number;
    /** True while some requests of the class leave the zone. */
    readonly isLeaving: boolean;
    /** Time of the monotonic clock of the last update. */
    readonly updatedAtMs: number;
};
