/** How a stand-in backend server misbehaves. */
export type FaultPlan = {
    /** "crash" ends the backend server while it runs an affected request; it starts again soon. */
    readonly kind: "none" | "fail" | "slow" | "crash";
    /** Share of the matching requests that the fault affects, 0 to 1. */
    readonly share: number;
    /** Only requests whose path has this prefix are affected. */
    readonly pathPrefix: string;
    /** Time from the start of the server, or from the change of the plan, until the fault begins. */
    readonly afterMs: number;
    /** The fault is active only while more requests than this arrived within the last second. */
    readonly abovePerSecond: number;
    /** Latency that kind "slow" adds. */
    readonly delayMs: number;
};
