/** The requests that an open-loop load sends. */
export type LoadPlan = {
    /** IP:PORT of the nodes' caller addresses, or of backend servers. Requests go to them in turn. */
    readonly targets: readonly string[];
    readonly service: string;
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly requests: readonly LoadRequest[];
    /** Deadline of each request. The client itself waits twice as long for a response. */
    readonly timeoutMs: number;
    readonly seed: number;
    /** Connections to each target. */
    readonly maximumConnections: number;
};

type LoadRequest = {
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Frequency of this request, relative to the weights of the others. */
    readonly weight: number;
};
