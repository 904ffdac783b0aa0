/** How many more events of each kind may happen. The budget keeps the set of reachable states finite. */
export type ModelBudget = {
    readonly electionTimeouts: number;
    readonly heartbeats: number;
    readonly quorumChecks: number;
    readonly proposals: number;
    readonly crashes: number;
    readonly duplicates: number;
    readonly membershipChanges: number;
    readonly compactions: number;
};
