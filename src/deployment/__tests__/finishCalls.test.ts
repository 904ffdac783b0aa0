import { Clock } from "../../core/Clock";
import { finishCalls } from "../finishCalls";

const GRACE_MS = 6_000;

class SteppedClock extends Clock {
    public nowMs = 0;

    public monotonicMs(): number {
        return this.nowMs;
    }

    public wallMs(): number {
        return this.nowMs;
    }
}

/** Plays an ending; `activeAt` tells the requests under way, `events` what was done and when. */
const play = async (activeAt: (nowMs: number, refusing: boolean, listening: boolean) => number) => {
    const clock = new SteppedClock();
    const done: { [event: string]: number; } = {};
    const result = await finishCalls({
        clock,
        graceMs: GRACE_MS,
        calls: {
            active: () => activeAt(clock.nowMs, "refuse" in done, !("stopListening" in done)),
            refuseAll: () => {
                done.refuse = clock.nowMs;
            },
            stopListening: () => {
                done.stopListening = clock.nowMs;
            },
        },
        pause: (delayMs) => {
            clock.nowMs += delayMs;
            return Promise.resolve();
        },
    });
    return { ...done, ...result, endedMs: clock.nowMs };
};

describe("a node that ends", () => {
    test("serves callers until they have noticed, then ends at once", async () => {
        const ending = await play(() => 0);
        expect(ending).toMatchObject({ refuse: 2_500, stopListening: 2_500, unfinished: 0 });
        expect(ending.endedMs).toBeLessThan(3_000);
    });

    test("refuses callers that go on after half of the grace, and waits for what runs", async () => {
        const ending = await play((nowMs) => (nowMs < 4_200 ? 1 : 0));
        expect(ending).toMatchObject({ refuse: 3_000, stopListening: 4_200, unfinished: 0 });
    });

    test("never begins a request of a connection that was open when listening stopped", async () => {
        // The request arrives just after listening stopped; unless it is refused, it runs for 300 ms.
        const ending = await play((nowMs, refusing, listening) => (listening || refusing || nowMs > 2_800 ? 0 : 1));
        expect(ending).toMatchObject({ refuse: 2_500, unfinished: 0 });
    });

    test("waits for the answers of requests that were begun just before listening stopped", async () => {
        const ending = await play((nowMs, _, listening) => (listening || nowMs > 2_900 ? 0 : 1));
        expect(ending.unfinished).toBe(0);
        expect(ending.endedMs).toBeGreaterThan(2_900);
    });

    test("gives up what is still under way shortly before it is killed", async () => {
        const ending = await play(() => 2);
        expect(ending.unfinished).toBe(2);
        expect(ending.endedMs).toBeLessThan(GRACE_MS);
    });
});
