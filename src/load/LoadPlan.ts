/** What an open-loop load sends. */
export type LoadPlan = {
    /** IP:PORT of the nodes' caller sides; requests go to them in turn. */
    readonly targets: readonly string[];
    readonly service: string;
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    readonly requests: readonly LoadRequest[];
    readonly timeoutMs: number;
    readonly seed: number;
    readonly maximumConnections: number;
};

type LoadRequest = {
    readonly method: "GET" | "POST";
    readonly path: string;
    /** Relative frequency. */
    readonly weight: number;
};
