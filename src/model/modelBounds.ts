import { emptyBudget } from "./emptyBudget";
import { ModelBudget } from "./ModelBudget";

/** A group and the budget within which it is explored exhaustively. */
type ModelBound = {
    readonly name: string;
    readonly voters: readonly string[];
    readonly learners: readonly string[];
    readonly budget: ModelBudget;
};

/** The groups that `npm run model` explores. */
export const modelBounds: readonly ModelBound[] = [
    {
        name: "competing elections",
        voters: ["a", "b", "c"],
        learners: [],
        budget: { ...emptyBudget, electionTimeouts: 2 },
    },
    {
        name: "election and proposal",
        voters: ["a", "b", "c"],
        learners: [],
        budget: { ...emptyBudget, electionTimeouts: 1, proposals: 1 },
    },
    {
        name: "election with a crash",
        voters: ["a", "b", "c"],
        learners: [],
        budget: { ...emptyBudget, electionTimeouts: 1, crashes: 1 },
    },
    {
        name: "election with a duplicate",
        voters: ["a", "b", "c"],
        learners: [],
        budget: { ...emptyBudget, electionTimeouts: 1, duplicates: 1 },
    },
    {
        name: "membership step",
        voters: ["a", "b"],
        learners: ["d"],
        budget: { ...emptyBudget, electionTimeouts: 1, membershipChanges: 1 },
    },
    {
        name: "learner in the group",
        voters: ["a", "b", "c"],
        learners: ["d"],
        budget: { ...emptyBudget, electionTimeouts: 1 },
    },
    {
        name: "snapshot to a lagging replica",
        voters: ["a", "b"],
        learners: [],
        budget: { ...emptyBudget, electionTimeouts: 1, proposals: 1, compactions: 1, heartbeats: 1 },
    },
];
