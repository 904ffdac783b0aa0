import * as fc from "fast-check";
import { step } from "../../consensus/step";
import { advanceModel } from "../advanceModel";
import { createModel } from "../createModel";
import { enumerateEvents } from "../enumerateEvents";
import { ModelState } from "../ModelState";
import { ProtocolStep } from "../ProtocolStep";

const RUNS = 300;
const EVENTS_PER_RUN = 600;
const SEED = 20_261_203;
const MAXIMUM_MESSAGES = 30;

const protocolStep: ProtocolStep = (state, input) => step(state, input);

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

/** Picks an event by a random number. Only one choice in seven may be a crash, so that most runs make progress. */
const pickEvent = (model: ModelState, choice: number) => {
    const events = enumerateEvents(model);
    const withoutCrash = events.filter(({ crashAfterActions }) => crashAfterActions === undefined);
    const candidates = choice % 7 === 0 ? events : withoutCrash;
    return candidates.length > 0 ? candidates[choice % candidates.length] : undefined;
};

/** Loses the oldest messages once more than `MAXIMUM_MESSAGES` are in flight. */
const dropOldestMessages = (model: ModelState): ModelState => ({
    ...model,
    network: model.network.slice(-MAXIMUM_MESSAGES),
});

describe("long random runs of the consensus protocol", () => {
    test("keep the invariants under crashes, loss, duplicates, reordering, membership changes and snapshots", () => {
        let mostCommitted = 0;
        fc.assert(
            fc.property(fc.array(fc.nat(), { minLength: EVENTS_PER_RUN, maxLength: EVENTS_PER_RUN }), (choices) => {
                let model = createModel(["a", "b", "c"], ["d"], budget);
                for (const choice of choices) {
                    const event = pickEvent(model, choice);
                    if (!event) {
                        break;
                    }
                    model = dropOldestMessages(advanceModel(model, event, protocolStep));
                    expect(model.violation).toBeUndefined();
                }
                mostCommitted = Math.max(mostCommitted, model.committed.size);
            }),
            { seed: SEED, numRuns: RUNS },
        );
        // Without committed entries, the invariants on them would hold trivially.
        expect(mostCommitted).toBeGreaterThan(5);
    });
});
