import { decideServiceMove } from "../decideServiceMove";
import { ServiceMoveState } from "../ServiceMoveState";

const question = {
    share: 0.05,
    remainingMs: 10_000,
    atShareMs: 4_000,
    watchedMs: 5_000,
    targetRequests: 60,
    suspicion: undefined,
} as const;

describe("a move", () => {
    test("begins with a trial share below what a bad version may get", () => {
        const decision = decideServiceMove({ ...question, share: 0 });
        expect(decision).toMatchObject({ kind: "change-share" });
        expect(decision.kind === "change-share" && decision.share).toBeLessThan(0.1);
    });

    test("stays on trial until shortly before its deadline", () => {
        expect(decideServiceMove(question)).toEqual({ kind: "wait" });
    });

    test("moves everything before its deadline, and ends once that was watched", () => {
        const late = { ...question, remainingMs: 2_000 };
        expect(decideServiceMove(late)).toMatchObject({ kind: "change-share", share: 0.9 });
        expect(decideServiceMove({ ...late, share: 0.9, atShareMs: 300 })).toEqual({ kind: "wait" });
        expect(decideServiceMove({ ...late, share: 0.9, atShareMs: 1_100 })).toMatchObject({ share: 1 });
        expect(decideServiceMove({ ...late, share: 1, atShareMs: 300 })).toEqual({ kind: "wait" });
        expect(decideServiceMove({ ...late, share: 1, atShareMs: 700 })).toMatchObject({
            kind: "end-move",
            state: ServiceMoveState.Finished,
        });
    });

    test("does not pass its trial under a suspicion that has not been cleared", () => {
        const suspicion = { strength: 4.2, route: "orders", signal: "errors" };
        expect(decideServiceMove({ ...question, suspicion })).toEqual({ kind: "wait" });
        expect(decideServiceMove({ ...question, suspicion, remainingMs: 2_000 })).toMatchObject({
            kind: "end-move",
            state: ServiceMoveState.TakenBack,
        });
        expect(decideServiceMove({ ...question, suspicion: { ...suspicion, strength: 2 }, remainingMs: 2_000 }))
            .toMatchObject({ kind: "change-share", share: 0.9 });
    });

    test("ends before its deadline although decisions come only every quarter of a second", () => {
        const intervalMs = 250;
        let share = 0.05;
        let shareSinceMs = 0;
        for (let nowMs = 0;; nowMs += intervalMs) {
            const decision = decideServiceMove({
                ...question,
                share,
                remainingMs: 14_000 - nowMs,
                atShareMs: nowMs - shareSinceMs,
            });
            if (decision.kind === "end-move") {
                expect(decision.state).toBe(ServiceMoveState.Finished);
                expect(nowMs).toBeLessThanOrEqual(14_000 - intervalMs);
                return;
            }
            if (decision.kind === "change-share") {
                share = decision.share;
                // The change itself takes a while to be committed.
                shareSinceMs = nowMs + 100;
            }
        }
    });

    test.each([0, 0.05, 1])("at share %d is taken back on a strong suspicion", (share) => {
        const suspicion = { strength: 9, route: "tiles", signal: "errors" };
        expect(decideServiceMove({ ...question, share, suspicion })).toMatchObject({
            kind: "end-move",
            state: ServiceMoveState.TakenBack,
            reason: "errors on route tiles",
        });
    });

    test.each([
        ["few requests", { targetRequests: 3 }],
        ["a leader that has only just begun to watch", { watchedMs: 500 }],
    ])("with %s is taken back instead of moved blindly", (_case, change) => {
        const decision = decideServiceMove({ ...question, remainingMs: 1_000, ...change });
        expect(decision).toMatchObject({ kind: "end-move", state: ServiceMoveState.TakenBack });
    });
});
