import { Clock } from "../../core/Clock";
import { finishCalls } from "../finishCalls";

const GRACE_MS = 6_000;

class SimulatedClock extends Clock {
    public nowMs = 0;

    public monotonicMs(): number {
        return this.nowMs;
    }

    public wallMs(): number {
        return this.nowMs;
    }
}

/**
 * Runs a shutdown on a simulated clock and returns when each step was taken.
 * @param countActiveAt returns the number of unanswered requests
 */
const runShutdown = async (countActiveAt: (nowMs: number, refusing: boolean, listening: boolean) => number) => {
    const clock = new SimulatedClock();
    const events: { answerBy?: number; withdraw?: number; refuse?: number; stopListening?: number; } = {};
    const result = await finishCalls({
        clock,
        graceMs: GRACE_MS,
        calls: {
            active: () => countActiveAt(clock.nowMs, "refuse" in events, !("stopListening" in events)),
            limitAnswers: (withinMs) => {
                events.answerBy = clock.nowMs + withinMs;
            },
            withdrawBackend: () => {
                events.withdraw = clock.nowMs;
            },
            refuseAll: () => {
                events.refuse = clock.nowMs;
            },
            stopListening: () => {
                events.stopListening = clock.nowMs;
            },
        },
        pause: (delayMs) => {
            clock.nowMs += delayMs;
            return Promise.resolve();
        },
    });
    return { ...events, ...result, endedMs: clock.nowMs };
};

describe("a stopping node", () => {
    test("serves callers until the platform has noticed the stop, then ends at once", async () => {
        const shutdown = await runShutdown(() => 0);
        expect(shutdown).toMatchObject({ refuse: 2_500, stopListening: 2_500, unfinished: 0 });
        expect(shutdown.endedMs).toBeLessThan(3_000);
    });

    test("keeps its backend server in use until shortly before it refuses requests", async () => {
        const { refuse = 0, withdraw = 0 } = await runShutdown(() => 1);
        expect(withdraw).toBeGreaterThanOrEqual(2_000);
        expect(refuse - withdraw).toBeGreaterThanOrEqual(300);
    });

    // Guards against requests that were sent after half of the grace period, but read before it by the clock of a node
    // that received the signal late, and cut at the end.
    test("refuses new requests shortly before half of the grace period is over and waits for running ones", async () => {
        const { refuse = 0, ...shutdown } = await runShutdown((nowMs) => (nowMs < 4_200 ? 1 : 0));
        expect(refuse).toBeGreaterThanOrEqual(2_500);
        expect(refuse).toBeLessThanOrEqual(2_900);
        expect(shutdown).toMatchObject({ stopListening: 4_200, unfinished: 0 });
    });

    // Guards against review/8: requests that waited for a slot when the process exited got no answer.
    test("gives requests that have not started time to be refused before it exits, from the start on", async () => {
        const { answerBy = 0, endedMs } = await runShutdown((nowMs) => (nowMs < 5_500 ? 1 : 0));
        expect(endedMs - answerBy).toBeGreaterThanOrEqual(200);
        expect(endedMs - answerBy).toBeLessThan(1_000);
    });

    test("never starts a request from a connection that was open when listening stopped", async () => {
        // The request arrives just after listening stopped and, unless it is refused, runs for 300 ms.
        const shutdown = await runShutdown((
            nowMs,
            refusing,
            listening,
        ) => (listening || refusing || nowMs > 2_800 ? 0 : 1));
        expect(shutdown).toMatchObject({ refuse: 2_500, unfinished: 0 });
    });

    test("waits for requests that started just before listening stopped", async () => {
        const shutdown = await runShutdown((nowMs, _, listening) => (listening || nowMs > 2_900 ? 0 : 1));
        expect(shutdown.unfinished).toBe(0);
        expect(shutdown.endedMs).toBeGreaterThan(2_900);
    });

    test("abandons unanswered requests shortly before it is killed", async () => {
        const shutdown = await runShutdown(() => 2);
        expect(shutdown.unfinished).toBe(2);
        expect(shutdown.endedMs).toBeLessThan(GRACE_MS);
    });
});
