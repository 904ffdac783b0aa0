/** An emulated mesh: control replicas, and hosts with their backend servers. */
export type MeshSpecification = {
    readonly controls: number;
    readonly hosts: readonly HostSpecification[];
    /** Services that callers use on every node. */
    readonly services: readonly string[];
    /** A folder for logs and the replicas' data. */
    readonly folder: string;
    readonly seed: number;
    readonly snapshotEvery?: number;
    /** Put fault-injecting proxies in front of all processes. Without them, latency is not distorted. */
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
