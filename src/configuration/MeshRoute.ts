/** Which requests go to which services, and how they may be handled. */
export type MeshRoute = {
    readonly name: string;
    /** The host that callers name, without a port. */
    readonly host: string;
    /** Begins with a slash. The longest prefix of the host that begins the path wins. */
    readonly pathPrefix: string;
    /** True if running a request twice does no harm. */
    readonly idempotent: boolean;
    readonly timeoutMs: number;
    /** Answers within this time are worth most to the caller. */
    readonly targetLatencyMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** The most backend servers that one request may be sent to. */
    readonly maximumAttempts: number;
    readonly destinations: readonly WeightedService[];
    /** True if the operator gave the destinations as weights, also where there is only one. */
    readonly weighted: boolean;
};

/** A service and its share of the requests of a route. */
type WeightedService = {
    readonly service: string;
    readonly weight: number;
};
