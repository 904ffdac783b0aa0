import { urgentLoad } from "../urgentLoad";

const SLOTS = 4;

/** Requests of one priority that take the given share of the slots for some time. */
const fill = (share: number, priority: number, forMs = 5_000) => {
    const workMs = 40;
    let state = urgentLoad.empty;
    for (let nowMs = 0; nowMs < forMs; nowMs += workMs / SLOTS / share) {
        state = urgentLoad.record(state, priority, workMs, nowMs);
    }
    return state;
};

describe("urgentLoad", () => {
    test("tells the share of the slots that more urgent requests take", () => {
        const state = fill(0.5, 1);
        expect(urgentLoad.shareBefore(state, 2, SLOTS, 5_000)).toBeCloseTo(0.5, 1);
        expect(urgentLoad.shareBefore(state, 1, SLOTS, 5_000)).toBe(0);
    });

    test("forgets them within seconds", () => {
        expect(urgentLoad.shareBefore(fill(0.9, 0), 1, SLOTS, 10_000)).toBeLessThan(0.01);
    });

    test("stays below 1, so that a wait can be estimated, and keeps only priorities in use", () => {
        const state = urgentLoad.record(fill(2, 0), 3, 40, 60_000);
        expect(urgentLoad.shareBefore(fill(2, 0), 1, SLOTS, 5_000)).toBeLessThan(1);
        expect([...state.workMs.keys()]).toEqual([3]);
    });
});
