/** Limits on the size and the timing of requests from callers. */
export type CallerLimits = {
    readonly maximumHeaderBytes: number;
    readonly maximumBodyBytes: number;
    /** The longest time until a request's headers have arrived. */
    readonly headerTimeoutMs: number;
    /** The shortest time that idle connections of callers are kept open. */
    readonly idleTimeoutMs: number;
    /** See `MeshConfiguration`. */
    readonly extensions?: string;
};
