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
    /** The replicas that voted for this candidate, or elected this leader. Empty for a follower. */
    readonly votes: readonly string[];
    /** The members that missed several quorum checks in a row; see `responsiveness`. Empty unless this replica leads. */
    readonly unresponsiveIds: readonly string[];
    /** See `ConsensusState`. Until then the state is that of the disk, and a newer one may have been acknowledged. */
    readonly isConfirmed: boolean;
};
