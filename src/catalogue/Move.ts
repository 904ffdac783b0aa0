/** A move of a service's traffic to a new version that is still under way. */
export type Move = {
    readonly version: number;
    readonly fromVersion: number;
    /** Index into the entry's steps. */
    readonly step: number;
    readonly startedAtMs: number;
    readonly stepStartedAtMs: number;
    readonly completeByMs: number | undefined;
    /** The move can't be in force everywhere by its time without breaking a limit. */
    readonly late: boolean;
    /** When every proxy had the last step, undefined before. */
    readonly inForceAtMs: number | undefined;
};
