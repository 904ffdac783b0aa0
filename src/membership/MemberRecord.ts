import { BackendEndpoint } from "./BackendEndpoint";
import { MemberStatus } from "./MemberStatus";

/** What the members know of one another. The record with the higher incarnation and sequence counts. */
export type MemberRecord = {
    readonly id: string;
    readonly zone: string;
    /** Rises with each start of the member's process. */
    readonly incarnation: number;
    /** Rises with each change that the member itself makes. */
    readonly sequence: number;
    readonly status: MemberStatus;
    /** IP:PORT for the system's own processes. */
    readonly peerAddress: string;
    /** IP:PORT for requests to the member's backend servers. */
    readonly inboundAddress: string;
    /** True for a control replica. */
    readonly isControl?: boolean;
    readonly endpoints: readonly BackendEndpoint[];
};
