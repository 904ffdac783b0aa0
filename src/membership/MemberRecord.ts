import { BackendEndpoint } from "./BackendEndpoint";
import { MemberStatus } from "./MemberStatus";

/** What the members exchange about one another. `isNewerRecord` decides which of two records of a member wins. */
export type MemberRecord = {
    readonly id: string;
    /** Its availability zone. */
    readonly zone: string;
    /** Increases with each start of the member's process. */
    readonly incarnation: number;
    /** Increases with each change that the member itself makes to its record. */
    readonly sequence: number;
    readonly status: MemberStatus;
    /** IP:PORT for connections from other members. */
    readonly peerAddress: string;
    /** IP:PORT for requests to the member's backend servers. */
    readonly inboundAddress: string;
    /** True for a control replica. */
    readonly isControl?: boolean;
    readonly endpoints: readonly BackendEndpoint[];
};
