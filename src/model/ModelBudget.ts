/** How many events of each kind a run may still see. The budget is the bound of the exploration. */
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
