import { ModelBudget } from "./ModelBudget";

/** A budget under which nothing happens. Bounds name what they allow on top of it. */
export const emptyBudget: ModelBudget = {
    electionTimeouts: 0,
    heartbeats: 0,
    quorumChecks: 0,
    proposals: 0,
    crashes: 0,
    duplicates: 0,
    membershipChanges: 0,
    compactions: 0,
};
