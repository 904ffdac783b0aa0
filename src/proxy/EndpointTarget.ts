/** A backend server that requests can be sent to, through the node on its host. */
export type EndpointTarget = {
    readonly memberId: string;
    readonly zone: string;
    /** IP:PORT of that node's `InboundServer`. */
    readonly inboundAddress: string;
    /** Requests that the backend server can process at the same time. */
    readonly slots: number;
    /** The node is suspected to be down, so it is used only if there is no other. */
    readonly suspect: boolean;
};
