import { ModelBudget } from "./ModelBudget";

/** A budget that allows only the delivery of messages. Other budgets override the kinds of event that they allow. */
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
