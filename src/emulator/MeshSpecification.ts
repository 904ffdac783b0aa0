/** The control replicas, hosts and backend servers of an emulated mesh. */
export type MeshSpecification = {
    /** Number of control replicas at the start. */
    readonly controls: number;
    readonly hosts: readonly HostSpecification[];
    /** Services that can be called through every node. */
    readonly services: readonly string[];
    /** Path of the folder for log files and the replicas' data. */
    readonly folder: string;
    readonly seed: number;
    /** Log entries between snapshots of a replica; the program's default if absent. */
    readonly snapshotEvery?: number;
    /** Whether a fault-injecting proxy is in front of each address. The proxies distort latency. */
    readonly withFaults: boolean;
};

type HostSpecification = {
    readonly id: string;
    readonly zone: string;
    readonly backends: readonly BackendSpecification[];
};

type BackendSpecification = {
    readonly service: string;
    readonly backendVersion: string;
    readonly slots: number;
    readonly latencyMs: number;
};
