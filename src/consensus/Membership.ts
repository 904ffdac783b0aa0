/** The replicas. Only voters count in a quorum; learners receive the log without voting. */
export type Membership = {
    readonly voters: readonly Replica[];
    readonly learners: readonly Replica[];
};

/** One replica and where the others reach it, as IP:PORT. */
type Replica = {
    readonly id: string;
    readonly address: string;
};
