import * as fc from "fast-check";
import { decideAcknowledgement } from "../decideAcknowledgement";

const nothing = { elapsedMs: 0, isCommitted: false, isControlConnected: true, neighbours: 3, confirmations: 0 };

describe("a departure", () => {
    test("is acknowledged at once when control has committed it and neighbours store it", () => {
        expect(decideAcknowledgement({ ...nothing, isCommitted: true, confirmations: 2 })).toBe("acknowledge");
    });

    test("is acknowledged at once by neighbours alone if no control replica is connected", () => {
        expect(decideAcknowledgement({ ...nothing, isControlConnected: false, confirmations: 2 })).toBe("acknowledge");
        expect(decideAcknowledgement({ ...nothing, isControlConnected: false, confirmations: 1 })).toBe("wait");
    });

    test("is acknowledged at once by control alone if there are no neighbours", () => {
        expect(decideAcknowledgement({ ...nothing, neighbours: 0, isCommitted: true })).toBe("acknowledge");
    });

    test("waits a short time for whichever does not respond, and then does without", () => {
        expect(decideAcknowledgement({ ...nothing, isCommitted: true })).toBe("wait");
        expect(decideAcknowledgement({ ...nothing, confirmations: 3 })).toBe("wait");
        expect(decideAcknowledgement({ ...nothing, elapsedMs: 300, isCommitted: true })).toBe("acknowledge");
        expect(decideAcknowledgement({ ...nothing, elapsedMs: 300, confirmations: 1 })).toBe("acknowledge");
    });

    test("is decided within the second that a backend server waits, and never acknowledged if nobody else stores it", () => {
        fc.assert(
            fc.property(
                fc.record({
                    elapsedMs: fc.integer({ min: 0, max: 2_000 }),
                    isCommitted: fc.boolean(),
                    isControlConnected: fc.boolean(),
                    neighbours: fc.integer({ min: 0, max: 12 }),
                    confirmations: fc.integer({ min: 0, max: 12 }),
                }),
                (progress) => {
                    const decision = decideAcknowledgement(progress);
                    const isStored = progress.isCommitted || progress.confirmations > 0;
                    expect(decision === "acknowledge" && !isStored).toBe(false);
                    expect(decision === "wait" && progress.elapsedMs >= 900).toBe(false);
                    expect(decision === "refuse" && isStored).toBe(false);
                },
            ),
            { seed: 1 },
        );
    });
});
