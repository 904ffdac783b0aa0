import { Membership } from "../consensus/Membership";
import { MembershipChange } from "../consensus/MembershipChange";

/** A replica that asks to become a voter. */
type Applicant = {
    readonly id: string;
    readonly address: string;
};

/**
 * The next single step that brings a replica into the group, or undefined if it is a voter already.
 * A replica that lost its disk comes back at the same address under a new id. The old id can never vote again,
 * so it is removed first; the new one votes only once it has caught up.
 */
export const nextGroupChange = (
    membership: Membership,
    { address, id }: Applicant,
): MembershipChange | undefined => {
    const { learners, voters } = membership;
    if (voters.some((voter) => voter.id === id)) {
        return undefined;
    }
    const replaced = [...voters, ...learners].find(
        (replica) => replica.address === address && replica.id !== id,
    );
    if (replaced) {
        return { kind: "remove", id: replaced.id };
    }
    const isLearner = learners.some((learner) => learner.id === id);
    return isLearner ? { kind: "promote", id } : { kind: "add-learner", id, address };
};
