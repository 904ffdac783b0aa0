import { BadVersionKind } from "./BadVersionKind";

/** The measurements of one rollout. */
export type RolloutMeasurement = {
    /** Index of the rollout in the plan. */
    readonly move: number;
    /** The fault of the new version; undefined for a good version. */
    readonly bad: BadVersionKind | undefined;
    /** The outcome of the rollout; "open" if it is unknown. */
    readonly result: string;
    readonly reason: string;
    readonly onTime: boolean;
    readonly durationMs: number;
    /** Requests that callers saw fail because of the bad version, after retries. Zero for a good version. */
    readonly harmed: number;
    /** Requests that were sent while the rollout ran. */
    readonly requestsDuring: number;
    /** Time from the first request affected by the fault to the last request that reached the version. */
    readonly faultToZeroMs: number | undefined;
};
