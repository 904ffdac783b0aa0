/** One of the two firms, by the sizes that the brief gives. */
export type Firm = {
    readonly name: "lipa" | "bursa";
    readonly service: string;
    readonly instances: number;
    readonly otherService: string;
    readonly otherInstances: number;
    readonly slots: number;
    /** Backend latency at which the overload experiment's full load is `FULL_LOAD_PER_SECOND`. */
    readonly overloadLatencyMs: number;
    readonly readPath: string;
    readonly orderPath: string;
};
