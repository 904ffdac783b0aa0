import { AttemptOutcome } from "../../proxy/AttemptOutcome";
import { attemptOutcome } from "../attemptOutcome";

const answered = (status: number) =>
    attemptOutcome({ kind: "answered", answer: { status, reason: "", headers: [], body: Buffer.alloc(0) } });

describe("an attempt", () => {
    test("that was answered speaks for the version, or against it", () => {
        expect(answered(200)).toBe(AttemptOutcome.Answered);
        expect(answered(404)).toBe(AttemptOutcome.Answered);
        expect(answered(500)).toBe(AttemptOutcome.Failed);
    });

    test.each(["shed", "no-room", "not-here", "expired", "cancelled"] as const)(
        "that did not run (%s) says nothing of it",
        (reason) => expect(attemptOutcome({ kind: "not-run", reason, retryAfterMs: 0 })).toBeUndefined(),
    );

    test.each([["broken", AttemptOutcome.Broken], ["timed-out", AttemptOutcome.TimedOut]] as const)(
        "that ended %s speaks against it",
        (reason, outcome) => expect(attemptOutcome({ kind: "unknown", reason })).toBe(outcome),
    );
});
