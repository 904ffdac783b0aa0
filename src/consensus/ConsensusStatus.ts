import { Membership } from "./Membership";
import { Role } from "./Role";

/** The status that a replica publishes. */
export type ConsensusStatus = {
    readonly id: string;
    readonly role: Role;
    readonly term: number;
    readonly leaderId: string | undefined;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly membership: Membership;
};
