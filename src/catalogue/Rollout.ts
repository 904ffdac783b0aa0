/**
 * A rollout in progress: it gradually sends the requests of a service to a new version. Times are milliseconds since
 * the Unix epoch.
 */
export type Rollout = {
    readonly version: number;
    /** The stable version that is replaced; 0 if there is none. */
    readonly fromVersion: number;
    /** Index into the entry's `requestShareSteps`. */
    readonly step: number;
    readonly startedAtMs: number;
    readonly stepStartedAtMs: number;
    /** Deadline by which every proxy must hold the last step. */
    readonly completeByMs: number | undefined;
    /** True if the rollout can't meet its deadline within the entry's limits. */
    readonly late: boolean;
    /** When every proxy held the last step; undefined before. */
    readonly inForceAtMs: number | undefined;
};
