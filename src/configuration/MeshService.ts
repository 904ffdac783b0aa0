/** The properties of a service that nodes need, apart from its backend servers. */
export type MeshService = {
    readonly name: string;
    readonly healthCheckPath: string;
    /** Number of connections that one backend server accepts from all callers together. */
    readonly maximumConnections: number;
    readonly protocol: string;
    readonly tls: boolean;
};
