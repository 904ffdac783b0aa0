/** What the nodes must know of a service besides its backend servers. */
export type MeshService = {
    readonly name: string;
    readonly healthCheckPath: string;
    /** Connections that one backend server accepts from all callers together. */
    readonly maximumConnections: number;
    readonly protocol: string;
    readonly tls: boolean;
};
