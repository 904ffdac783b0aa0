import { Membership } from "../consensus/Membership";
import { MembershipChange } from "../consensus/MembershipChange";

/** A replica that requests to become a voter. */
type JoiningReplica = {
    readonly id: string;
    readonly address: string;
};

/**
 * Returns the next membership change on the way to making a replica a voter, or undefined if it is one already.
 * A replica that lost its disk returns at the same address with a new id. The old id can never vote again, so it is
 * removed first. The new id becomes a learner and is promoted to voter once it has caught up.
 */
export const nextGroupChange = (
    membership: Membership,
    { address, id }: JoiningReplica,
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
