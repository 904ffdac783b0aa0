import { ServiceClass } from "../catalogue/ServiceClass";

/** The running and the queued requests of one resource with a concurrency limit. */
export type AdmissionState = {
    /** Number of requests that are running. */
    readonly active: number;
    /** Queued requests in the order of arrival. */
    readonly queue: readonly QueuedRequest[];
    /** Exponentially weighted mean service time (from start to end of a request), in milliseconds. */
    readonly serviceMs: number;
    /** Exponentially weighted mean absolute deviation of the service time, in milliseconds. */
    readonly deviationMs: number;
    /** For each caller, the value of `startedCount` when its latest request started. */
    readonly lastStarted: ReadonlyMap<string, number>;
    /** Number of requests started so far. */
    readonly startedCount: number;
};

type QueuedRequest = {
    readonly id: number;
    readonly class: ServiceClass;
    readonly caller: string;
    /** On the monotonic clock, in milliseconds. */
    readonly deadlineMs: number;
};
