/**
 * What members tell one another about a request under which backend servers crashed. Times are ages in ms when the report
 * is sent, since the clocks of hosts differ.
 */
export type CrashReport = {
    /** See `requestFingerprint`. */
    readonly fingerprint: string;
    readonly service: string;
    readonly crashes: readonly ReportedCrash[];
    /** Crashes before this no longer count: a run was completed, or an operator lifted the refusal. */
    readonly clearedAgeMs?: number;
};

type ReportedCrash = {
    /** Identifies one start of a backend server. */
    readonly backend: string;
    readonly backendVersion: string;
    /** One more than the highest rank of the crashes known when the run began: runs of the same rank ran side by side. */
    readonly rank: number;
    readonly ageMs: number;
};
