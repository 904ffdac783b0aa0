/** The settings of a control replica of a deployment. */
export type DeploymentControlSettings = {
    /** Name of this process, unique and kept across restarts. */
    readonly id: string;
    /** Availability zone. */
    readonly zone: string;
    /** Where other processes of the mesh reach this one, IP:PORT. */
    readonly peerAddress: string;
    /** Peer addresses of some control replicas. */
    readonly seeds: readonly string[];
    /** True only when the whole mesh starts for the first time; the seeds are then the first voters. */
    readonly isFirstStart: boolean;
    readonly dataFolder: string;
    /** Shared by all processes of the mesh to authenticate their connections. */
    readonly secret: string;
    readonly electionTimeoutMs: number;
    /** For how long after its acceptance an order of an operator, other than a configuration, may arrive again. */
    readonly orderRepetitionMs: number;
    /** The wall clocks of two hosts may differ by this much. */
    readonly maximumSkewMs: number;
    /** The availability zones of the mesh; empty if they are not known. */
    readonly zones: readonly string[];
    /**
     * In any window, the requests of an account that run may exceed its rate times the window plus its burst by this
     * share, and by `quotaSlack`.
     */
    readonly quotaWindowMs: number;
    readonly quotaOverage: number;
    readonly quotaSlack: number;
    /** Port of the metrics endpoint; undefined disables it. */
    readonly metricsPort: number | undefined;
};
