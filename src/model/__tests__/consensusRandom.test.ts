import * as fc from "fast-check";
import { step } from "../../consensus/step";
import { advanceModel } from "../advanceModel";
import { createModel } from "../createModel";
import { enumerateEvents } from "../enumerateEvents";
import { ModelRules } from "../ModelRules";
import { ModelState } from "../ModelState";

const RUNS = 300;
const EVENTS = 600;
const SEED = 20_261_203;
const MAXIMUM_NETWORK = 30;

const rules: ModelRules = (state, input) => step(state, input);

const budget = {
    electionTimeouts: 25,
    heartbeats: 40,
    quorumChecks: 15,
    proposals: 15,
    crashes: 8,
    duplicates: 25,
    membershipChanges: 8,
    compactions: 6,
};

/** Crashes are kept rare by offering the events without one more often. */
const pickEvent = (model: ModelState, choice: number) => {
    const events = enumerateEvents(model);
    const calm = events.filter(({ crashAfterActions }) => crashAfterActions === undefined);
    const offered = choice % 7 === 0 ? events : calm;
    return offered.length > 0 ? offered[choice % offered.length] : undefined;
};

/** Old messages are lost once too many are under way. */
const loseOldest = (model: ModelState): ModelState => ({ ...model, network: model.network.slice(-MAXIMUM_NETWORK) });

describe("the consensus protocol, in long random runs", () => {
    test("keeps its invariants under crashes, loss, duplicates, reordering, membership steps and snapshots", () => {
        let furthest = 0;
        fc.assert(
            fc.property(fc.array(fc.nat(), { minLength: EVENTS, maxLength: EVENTS }), (choices) => {
                let model = createModel(["a", "b", "c"], ["d"], budget);
                for (const choice of choices) {
                    const event = pickEvent(model, choice);
                    if (!event) {
                        break;
                    }
                    model = loseOldest(advanceModel(model, event, rules));
                    expect(model.violation).toBeUndefined();
                }
                furthest = Math.max(furthest, model.committed.size);
            }),
            { seed: SEED, numRuns: RUNS },
        );
        // The runs must have got somewhere, or the property would hold for want of events.
        expect(furthest).toBeGreaterThan(5);
    });
});
