import { logBudgets } from "../logBudgets";

const takeAll = (times: readonly number[], event = "refused") => {
    let state = logBudgets.initial;
    return times.map((nowMs) => {
        const decision = logBudgets.take(state, event, nowMs, 2);
        state = decision.state;
        return { allowed: decision.allowed, leftOut: decision.summary.get(event) };
    });
};

describe("the lines of an event", () => {
    test("are bounded each second, and those left out are counted once it is over", () => {
        expect(takeAll([1_000, 1_100, 1_200, 1_900, 2_000])).toEqual([
            { allowed: true, leftOut: undefined },
            { allowed: true, leftOut: undefined },
            { allowed: false, leftOut: undefined },
            { allowed: false, leftOut: undefined },
            { allowed: true, leftOut: 2 },
        ]);
    });

    test("do not use up those of another", () => {
        let { state } = logBudgets.take(logBudgets.initial, "refused", 1_000, 1);
        ({ state } = logBudgets.take(state, "refused", 1_000, 1));
        expect(logBudgets.take(state, "retried", 1_000, 1).allowed).toBe(true);
    });
});
