import { decideServiceMove } from "../decideServiceMove";
import { ServiceMoveState } from "../ServiceMoveState";

const progress = {
    share: 0.05,
    remainingMs: 10_000,
    timeAtShareMs: 4_000,
    observedMs: 5_000,
    targetRequests: 60,
    suspicion: undefined,
} as const;

describe("a move", () => {
    test("begins with a trial share below the 10 % that a bad version may get", () => {
        const decision = decideServiceMove({ ...progress, share: 0 });
        expect(decision).toMatchObject({ kind: "change-share" });
        expect(decision.kind === "change-share" && decision.share).toBeLessThan(0.1);
    });

    test("stays in the trial until shortly before its deadline", () => {
        expect(decideServiceMove(progress)).toEqual({ kind: "wait" });
    });

    test("moves all requests before its deadline and finishes after observing that", () => {
        const late = { ...progress, remainingMs: 2_000 };
        expect(decideServiceMove(late)).toMatchObject({ kind: "change-share", share: 0.9 });
        expect(decideServiceMove({ ...late, share: 0.9, timeAtShareMs: 300 })).toEqual({ kind: "wait" });
        expect(decideServiceMove({ ...late, share: 0.9, timeAtShareMs: 1_100 })).toMatchObject({ share: 1 });
        expect(decideServiceMove({ ...late, share: 1, timeAtShareMs: 300 })).toEqual({ kind: "wait" });
        expect(decideServiceMove({ ...late, share: 1, timeAtShareMs: 700 })).toMatchObject({
            kind: "end-move",
            state: ServiceMoveState.Finished,
        });
    });

    test("does not pass the trial while there is evidence against the target version", () => {
        const suspicion = { strength: 4.2, route: "orders", signal: "errors" };
        expect(decideServiceMove({ ...progress, suspicion })).toEqual({ kind: "wait" });
        expect(decideServiceMove({ ...progress, suspicion, remainingMs: 2_000 })).toMatchObject({
            kind: "end-move",
            state: ServiceMoveState.RolledBack,
        });
        expect(decideServiceMove({ ...progress, suspicion: { ...suspicion, strength: 2 }, remainingMs: 2_000 }))
            .toMatchObject({ kind: "change-share", share: 0.9 });
    });

    test("finishes before its deadline with a decision every 250 ms", () => {
        const intervalMs = 250;
        let share = 0.05;
        let shareSinceMs = 0;
        for (let nowMs = 0;; nowMs += intervalMs) {
            const decision = decideServiceMove({
                ...progress,
                share,
                remainingMs: 14_000 - nowMs,
                timeAtShareMs: nowMs - shareSinceMs,
            });
            if (decision.kind === "end-move") {
                expect(decision.state).toBe(ServiceMoveState.Finished);
                expect(nowMs).toBeLessThanOrEqual(14_000 - intervalMs);
                return;
            }
            if (decision.kind === "change-share") {
                share = decision.share;
                // Committing the change takes some time.
                shareSinceMs = nowMs + 100;
            }
        }
    });

    test.each([0, 0.05, 1])("at share %d is rolled back on strong evidence against the target version", (share) => {
        const suspicion = { strength: 9, route: "tiles", signal: "errors" };
        expect(decideServiceMove({ ...progress, share, suspicion })).toMatchObject({
            kind: "end-move",
            state: ServiceMoveState.RolledBack,
            reason: "errors on route tiles",
        });
    });

    test.each([
        ["few requests", { targetRequests: 3 }],
        ["a leader that has just started to observe it", { observedMs: 500 }],
    ])("with %s is rolled back for lack of evidence", (_case, change) => {
        const decision = decideServiceMove({ ...progress, remainingMs: 1_000, ...change });
        expect(decision).toMatchObject({ kind: "end-move", state: ServiceMoveState.RolledBack });
    });
});
