import { knowsDepartures } from "../knowsDepartures";

const nothing = { elapsedMs: 0, controlAnswered: false, neighboursAnswered: 0, informedNeighbours: 0 };

describe("a restarted process", () => {
    test("uses announcements as soon as control and a neighbour have answered", () => {
        const answers = { controlAnswered: true, neighboursAnswered: 1 };
        expect(knowsDepartures({ ...nothing, ...answers, elapsedMs: 20 })).toBe(true);
    });

    test("waits a short time for both, then goes on with the answer of either", () => {
        for (const answers of [{ controlAnswered: true }, { neighboursAnswered: 2, informedNeighbours: 1 }]) {
            expect(knowsDepartures({ ...nothing, ...answers, elapsedMs: 399 })).toBe(false);
            expect(knowsDepartures({ ...nothing, ...answers, elapsedMs: 400 })).toBe(true);
        }
    });

    // Guards against trusting neighbours that were killed at the same moment.
    test("waits for control if all neighbours that answered have restarted as well", () => {
        const answers = { ...nothing, neighboursAnswered: 5, elapsedMs: 1_500 };
        expect(knowsDepartures(answers)).toBe(false);
        expect(knowsDepartures({ ...answers, controlAnswered: true })).toBe(true);
    });

    test("goes on after three seconds if nobody answers", () => {
        expect(knowsDepartures({ ...nothing, elapsedMs: 2_999 })).toBe(false);
        expect(knowsDepartures({ ...nothing, elapsedMs: 3_000 })).toBe(true);
    });
});
