import { Membership } from "./Membership";

/** Decides whether the replicas named in `ids` form a quorum. */
export type QuorumRule = (membership: Membership, ids: ReadonlySet<string>) => boolean;
