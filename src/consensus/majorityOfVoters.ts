import { QuorumRule } from "./QuorumRule";

/** The standard quorum rule: more than half of the voters. Learners never count. */
export const majorityOfVoters: QuorumRule = (membership, ids) => {
    const votersInQuorum = membership.voters.filter(({ id }) => ids.has(id)).length;
    return votersInQuorum * 2 > membership.voters.length;
};
