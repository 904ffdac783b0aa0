import { QuorumRule } from "./QuorumRule";

/** A quorum is more than half of the voters. Learners never count. */
export const majorityOfVoters: QuorumRule = (membership, ids) => {
    const present = membership.voters.filter(({ id }) => ids.has(id)).length;
    return present * 2 > membership.voters.length;
};
