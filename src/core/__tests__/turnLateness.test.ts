import { EventLoopTurns } from "../EventLoopTurns";
import { pause } from "../pause";
import { SystemClock } from "../SystemClock";
import { turnLateness } from "../turnLateness";

const { create, endTurn, mustSettle, tick, tickIntervalMs, unreadMs } = turnLateness;

/** Ticks at these times, each in a turn of its own. */
const afterTicks = (...timesMs: readonly number[]) =>
    timesMs.reduce((state, atMs) => endTurn(tick(state, atMs)), create(0));

describe("turnLateness", () => {
    test("counts nothing in a loop that keeps up, whether it is idle or reads all the time", () => {
        const state = afterTicks(50, 100, 150);
        expect(unreadMs(state, 199)).toBe(0);
        expect(unreadMs(tick(state, 200), 200)).toBe(0);
        expect(mustSettle(state, 199)).toBe(false);
    });

    test("counts the turn before in a loop whose turns are long", () => {
        const state = tick(afterTicks(50, 800), 1_500);
        expect(unreadMs(state, 1_500)).toBe(700 - tickIntervalMs);
        expect(mustSettle(state, 1_500)).toBe(true);
    });

    test("counts the time until the reading as well, if that is late in its turn", () => {
        expect(unreadMs(tick(afterTicks(50, 100), 150), 900)).toBe(800 - tickIntervalMs);
    });

    test("counts from the last tick if the process was stopped while it waited for sockets", () => {
        expect(unreadMs(afterTicks(50, 100), 1_100)).toBe(1_000 - tickIntervalMs);
    });

    test("keeps up again two turns after a stop", () => {
        const state = tick(afterTicks(50, 1_000, 1_050), 1_100);
        expect(unreadMs(state, 1_101)).toBeLessThan(tickIntervalMs);
    });
});

describe("EventLoopTurns", () => {
    // Guards against counting the lateness of a turn for requests that have waited for the poll of the next one.
    test("knows after settling that sockets have just been polled", async () => {
        const turns = new EventLoopTurns(new SystemClock());
        await pause(2 * tickIntervalMs);
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
        expect(turns.sincePolledMs).toBeGreaterThanOrEqual(600);
        await turns.settle();
        expect(turns.sincePolledMs).toBeLessThan(600);
        turns.dispose();
    });

    test("reports a turn that took long to what is read in the next one", async () => {
        const turns = new EventLoopTurns(new SystemClock());
        await pause(2 * tickIntervalMs);
        const read = new Promise<number>((resolve) => setImmediate(() => resolve(turns.unreadMs)));
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
        expect(await read).toBeGreaterThanOrEqual(600 - 2 * tickIntervalMs);
        turns.dispose();
    });
});
