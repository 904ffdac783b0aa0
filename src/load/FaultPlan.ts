/** How a stand-in backend server misbehaves. */
export type FaultPlan = {
    readonly kind: "none" | "fail" | "slow";
    /** The share of requests that are hit. */
    readonly share: number;
    /** Only requests whose path starts so are hit. */
    readonly pathPrefix: string;
    /** The fault begins this long after the start. */
    readonly afterMs: number;
    /** Only while more than this many requests a second come. */
    readonly abovePerSecond: number;
    /** Extra latency of a slow answer. */
    readonly delayMs: number;
};
