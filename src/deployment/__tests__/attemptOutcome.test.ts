import { AttemptOutcome } from "../../proxy/AttemptOutcome";
import { attemptOutcome } from "../attemptOutcome";

const answered = (status: number) =>
    attemptOutcome({
        result: { kind: "answered", answer: { status, reason: "", headers: [], body: Buffer.alloc(0) } },
        overdue: false,
        isCold: false,
    });

const ended = (result: Parameters<typeof attemptOutcome>[0]["result"], change = {}) =>
    attemptOutcome({ result, overdue: false, isCold: false, ...change });

describe("an attempt", () => {
    test("that was answered speaks for the version, or against it", () => {
        expect(answered(200)).toBe(AttemptOutcome.Answered);
        expect(answered(404)).toBe(AttemptOutcome.Answered);
        expect(answered(500)).toBe(AttemptOutcome.Failed);
    });

    test.each(["shed", "no-room", "not-here", "expired", "cancelled"] as const)(
        "that did not run (%s) says nothing of it",
        (reason) => expect(ended({ kind: "not-run", reason, retryAfterMs: 0 })).toBeUndefined(),
    );

    test("that was overdue and given up for another speaks against it, but not during slow start", () => {
        const givenUp = { kind: "unknown", reason: "cancelled" } as const;
        expect(ended(givenUp)).toBeUndefined();
        expect(ended(givenUp, { overdue: true })).toBe(AttemptOutcome.TimedOut);
        expect(ended(givenUp, { overdue: true, isCold: true })).toBeUndefined();
    });

    test.each([["broken", AttemptOutcome.Broken], ["timed-out", AttemptOutcome.TimedOut]] as const)(
        "that ended %s speaks against it",
        (reason, outcome) => expect(ended({ kind: "unknown", reason })).toBe(outcome),
    );
});
