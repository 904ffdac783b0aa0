import { HeaderNames } from "../calls/HeaderNames";

/** The settings of a node of a deployment. Addresses are IP:PORT. */
export type DeploymentNodeSettings = {
    /** Name of this process, unique and kept over restarts. */
    readonly id: string;
    readonly zone: string;
    /** For the system's own processes. */
    readonly peerAddress: string;
    /** For callers on this host. */
    readonly callerAddress: string;
    /** Peer addresses of some control replicas. */
    readonly seeds: readonly string[];
    /** The service of the backend server on this host. */
    readonly service: string;
    readonly secret: string;
    /** Port for metrics on this host; none are served without it. */
    readonly metricsPort: number | undefined;
    readonly headerNames: HeaderNames;
    /** Time after which a leaving backend server may get no more requests. */
    readonly drainMs: number;
    /** Time from the stop signal until the process is killed. */
    readonly stopGraceMs: number;
    /** Repetitions that all nodes together may make for each request, and besides. */
    readonly repeatRatio: number;
    readonly repeatSlack: number;
    readonly repeatWindowMs: number;
};
