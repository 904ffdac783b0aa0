/** A backend server that requests may be sent to, as known to the sending node. */
export type RoutableBackend = {
    readonly nodeId: string;
    /** IP:PORT of the node on the backend server's host. */
    readonly address: string;
    readonly zone: string;
    readonly service: string;
    readonly version: string;
    readonly instanceId: string;
    /** Unix time in ms at which it started; 0 if unknown. */
    readonly bornMs: number;
    readonly slots: number;
    /** Time of the monotonic clock at which its slow start ends. */
    readonly warmAtMs: number;
};
