/** A backend server that requests can be sent to, by way of its host's node. */
export type EndpointTarget = {
    readonly memberId: string;
    readonly zone: string;
    /** IP:PORT of the node's inbound side. */
    readonly inboundAddress: string;
    readonly slots: number;
    /** The member is suspected: it is used only when there is no other. */
    readonly suspect: boolean;
};
