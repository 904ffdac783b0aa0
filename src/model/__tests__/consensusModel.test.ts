import { ConsensusAction } from "../../consensus/ConsensusAction";
import { QuorumRule } from "../../consensus/QuorumRule";
import { step } from "../../consensus/step";
import { createModel } from "../createModel";
import { emptyBudget } from "../emptyBudget";
import { exploreModel } from "../exploreModel";
import { modelBounds } from "../modelBounds";
import { ProtocolStep } from "../ProtocolStep";

const MAXIMUM_STATES = 200_000;

/** Bounds that take too long for CI; `npm run model` explores them. */
const LARGE_BOUNDS: ReadonlySet<string> = new Set(["competing elections"]);

const unmodified: ProtocolStep = (state, input) => step(state, input);

describe("exhaustive exploration of the consensus protocol within a budget", () => {
    const bounds = modelBounds.filter(({ name }) => !LARGE_BOUNDS.has(name));
    test.each(bounds)("keeps its invariants: $name", ({ budget, learners, voters }) => {
        const { exhausted, mostCommitted, violation } = exploreModel(
            createModel(voters, learners, budget),
            unmodified,
            MAXIMUM_STATES,
        );
        expect(violation).toBeUndefined();
        expect(exhausted).toBe(true);
        expect(mostCommitted).toBeGreaterThan(0);
    });
});

describe("detection of a faulty consensus protocol by the model", () => {
    test("detects a replica that votes twice in a term", () => {
        const votesTwice: ProtocolStep = (state, input) => {
            const isVoteRequest = input.kind === "receive" && input.message.kind === "vote-request";
            return step(isVoteRequest ? { ...state, votedFor: undefined } : state, input);
        };
        const model = createModel(["a", "b", "c"], [], { ...emptyBudget, electionTimeouts: 2 });
        expect(exploreModel(model, votesTwice, MAXIMUM_STATES).violation).toMatch(/two leaders in term/);
    });

    test("detects a replica that acknowledges entries before it has synced them", () => {
        const actionRank = ({ kind }: ConsensusAction): number => (kind === "send" ? 0 : 1);
        const sendsFirst: ProtocolStep = (state, input) => {
            const result = step(state, input);
            return {
                ...result,
                actions: [...result.actions].sort((left, right) => actionRank(left) - actionRank(right)),
            };
        };
        const model = createModel(["a", "b", "c"], [], { ...emptyBudget, electionTimeouts: 1, crashes: 1 });
        expect(exploreModel(model, sendsFirst, MAXIMUM_STATES).violation).toMatch(/synced by no quorum/);
    });

    test("detects a quorum rule that counts learners", () => {
        const countsLearners: QuorumRule = ({ learners, voters }, ids) => {
            const count = [...voters, ...learners].filter(({ id }) => ids.has(id)).length;
            return count * 2 > voters.length;
        };
        const withFaultyQuorum: ProtocolStep = (state, input) => step(state, input, countsLearners);
        const model = createModel(["a", "b", "c"], ["d"], { ...emptyBudget, electionTimeouts: 1 });
        expect(exploreModel(model, withFaultyQuorum, MAXIMUM_STATES).violation).toMatch(/synced by no quorum/);
    });
});
