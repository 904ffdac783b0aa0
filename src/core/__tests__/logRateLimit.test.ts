import { logRateLimit } from "../logRateLimit";

const takeAll = (times: readonly number[], event = "refused") => {
    let state = logRateLimit.initial;
    return times.map((nowMs) => {
        const decision = logRateLimit.take(state, event, nowMs, 2);
        state = decision.state;
        return { allowed: decision.allowed, suppressed: decision.suppressedLines.get(event) };
    });
};

describe("logRateLimit", () => {
    test("limits the lines of an event per second and reports the suppressed ones in the next second", () => {
        expect(takeAll([1_000, 1_100, 1_200, 1_900, 2_000])).toEqual([
            { allowed: true, suppressed: undefined },
            { allowed: true, suppressed: undefined },
            { allowed: false, suppressed: undefined },
            { allowed: false, suppressed: undefined },
            { allowed: true, suppressed: 2 },
        ]);
    });

    test("limits each event independently of the others", () => {
        let { state } = logRateLimit.take(logRateLimit.initial, "refused", 1_000, 1);
        ({ state } = logRateLimit.take(state, "refused", 1_000, 1));
        expect(logRateLimit.take(state, "retried", 1_000, 1).allowed).toBe(true);
    });
});
