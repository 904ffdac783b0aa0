/** A start of a backend server that left: it announced that it is draining, or deregistered. */
export type Departure = {
    readonly instanceId: string;
    /** Unix time in ms at which it started. If it did not state that, the time at which it left. */
    readonly bornMs: number;
    /** Time of this process's monotonic clock at which it left. */
    readonly leftAtMs: number;
};
