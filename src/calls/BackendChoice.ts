/** A backend server that requests may be sent to, as the choosing node knows it. */
export type BackendChoice = {
    readonly nodeId: string;
    /** IP:PORT of the node beside it. */
    readonly address: string;
    readonly zone: string;
    readonly service: string;
    readonly version: string;
    readonly instanceId: string;
    readonly slots: number;
    /** On the steady clock: when its slow start ends. */
    readonly warmAtMs: number;
};
