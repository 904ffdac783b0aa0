import { Membership } from "../consensus/Membership";
import { MembershipChange } from "../consensus/MembershipChange";

/**
 * Returns the next removal of a member that doesn't respond to the leader, or undefined if there is none to make.
 *
 * A host that is replaced never comes back, so its replica must not count towards the majority for ever. Whether a host
 * comes back can't be known, so a voter is removed only from an even number of voters. That never makes a majority harder
 * to reach, even if the removed replica returns first: every majority of 2n voters contains n of the other 2n - 1, which
 * is a majority of these. A replica that returns joins again. Learners have no vote and are removed at any time.
 */
export const nextRemoval = (
    { learners, voters }: Membership,
    unresponsiveIds: readonly string[],
): MembershipChange | undefined => {
    const candidates = voters.length % 2 === 0 ? [...learners, ...voters] : learners;
    const removed = candidates.find(({ id }) => unresponsiveIds.includes(id));
    return removed ? { kind: "remove", id: removed.id } : undefined;
};
