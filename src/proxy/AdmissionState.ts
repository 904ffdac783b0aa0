import { ServiceClass } from "../catalogue/ServiceClass";

/** The requests at one bounded resource: those being worked on and those that wait. */
export type AdmissionState = {
    readonly active: number;
    /** Waiting requests in the order of arrival. */
    readonly queue: readonly QueuedRequest[];
    /** Exponentially weighted mean time that a request holds its place, in milliseconds. */
    readonly serviceMs: number;
    /** Exponentially weighted mean distance from that mean, in milliseconds. */
    readonly deviationMs: number;
    /** When each caller was last served, as a running number. */
    readonly lastServed: ReadonlyMap<string, number>;
    readonly served: number;
};

type QueuedRequest = {
    readonly id: number;
    readonly class: ServiceClass;
    readonly caller: string;
    readonly deadlineMs: number;
};
