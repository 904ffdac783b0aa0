/** The replicas of the group. Only voters count towards a quorum; learners receive the log without voting. */
export type Membership = {
    readonly voters: readonly Replica[];
    readonly learners: readonly Replica[];
};

/** One replica and its peer address as IP:PORT. */
type Replica = {
    readonly id: string;
    readonly address: string;
};
