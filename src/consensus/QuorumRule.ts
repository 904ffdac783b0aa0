import { Membership } from "./Membership";

/** Returns whether the replicas in `ids` form a quorum. */
export type QuorumRule = (membership: Membership, ids: ReadonlySet<string>) => boolean;
