/** The properties of a service that nodes need, apart from its backend servers. */
export type MeshService = {
    readonly name: string;
    readonly healthCheckPath: string;
    /** Number of connections that one backend server accepts from all callers together. */
    readonly maximumConnections: number;
    readonly protocol: string;
    readonly tls: boolean;
    /** How long a backend server is cold after it starts; undefined if the configuration does not state it. */
    readonly coldStartMs?: number;
    /** Requests a second that a cold backend server tolerates; undefined or 0 means no limit. */
    readonly coldRequestsPerSecond?: number;
    /** See `MeshConfiguration`. */
    readonly extensions?: string;
};
