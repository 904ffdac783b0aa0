import { HeaderNames } from "../calls/HeaderNames";

/** The settings of a node of a deployment. Addresses are IP:PORT. */
export type DeploymentNodeSettings = {
    /** Name of this process, unique and kept across restarts. */
    readonly id: string;
    /** Availability zone. */
    readonly zone: string;
    /** Where other processes of the mesh reach this one. */
    readonly peerAddress: string;
    /** Where callers on this host send their requests. */
    readonly callerAddress: string;
    /** Peer addresses of some control replicas. */
    readonly seeds: readonly string[];
    /** The service of the backend server on this host. */
    readonly service: string;
    /** Shared by all processes of the mesh to authenticate their connections. */
    readonly secret: string;
    /** Port of the metrics endpoint on this host; undefined disables it. */
    readonly metricsPort: number | undefined;
    readonly headerNames: HeaderNames;
    /** The longest time for which a backend server may get requests after it deregistered or began to drain. */
    readonly drainMs: number;
    /** Time from the stop signal until the process is killed. */
    readonly stopGraceMs: number;
    /** Bandwidth of the link of this host, in bytes per ms. */
    readonly linkBytesPerMs: number;
    /** Memory that this process may use. */
    readonly memoryBytes: number;
    /** Descriptors that this process may open. */
    readonly maximumDescriptors: number;
    /** What a kilobyte sent to another zone costs, as a share of what a late response costs. */
    readonly zonePricePerKilobyte: number;
    /** The retry budget that all nodes share: the retries per request that are allowed in a time window. */
    readonly retryRatio: number;
    /** Retries that all nodes together may make beyond that. Each node allows itself one, whatever this value is. */
    readonly retrySlack: number;
    readonly retryWindowMs: number;
    /** A cold backend server may get its tolerated rate times this, plus `coldSlack`, in any second. */
    readonly coldOverage: number;
    readonly coldSlack: number;
    /** Time after an evacuation was acknowledged until nothing reaches the zone's backend servers; undefined: none. */
    readonly evacuationMs: number | undefined;
    /** Time after a configuration that withdraws a key until no request with it runs; undefined: no strict bound. */
    readonly keyRevocationMs: number | undefined;
};
