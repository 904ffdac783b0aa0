/** A client account: its callers identify themselves with one of its keys. */
export type ClientAccount = {
    readonly name: string;
    /** Its API keys; in a configuration on a node, their digests (see `digestAccountKeys`). */
    readonly keys: readonly string[];
    /** Takes precedence over the priority of the route; undefined if the route's applies. */
    readonly priority?: number;
    /** Undefined without a limit. */
    readonly quota?: AccountQuota;
    /** See `MeshConfiguration`. Not sent to nodes. */
    readonly extensions?: string;
};

/** The requests that an account may have run, on all nodes together. */
type AccountQuota = {
    readonly requestsPerSecond: number;
    /** Requests beyond the rate that may run at once. */
    readonly burst: number;
};
