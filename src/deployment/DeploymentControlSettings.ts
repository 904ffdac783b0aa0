/** The settings of a control replica of a deployment. */
export type DeploymentControlSettings = {
    /** Name of this process, kept over restarts. */
    readonly id: string;
    readonly zone: string;
    /** IP:PORT for the system's own processes. */
    readonly peerAddress: string;
    /** Peer addresses of some control replicas. */
    readonly seeds: readonly string[];
    /** True only when the whole system starts for the first time: the seeds are the first voters then. */
    readonly isFirstStart: boolean;
    readonly dataFolder: string;
    readonly secret: string;
    readonly electionTimeoutMs: number;
    /** Undefined serves no metrics. */
    readonly metricsPort: number | undefined;
};
