import { RandomSource } from "../../core/RandomSource";
import { ageRequest } from "../ageRequest";
import { callerPresence } from "../callerPresence";
import { CallRequest } from "../CallRequest";
import { PollingNode } from "./PollingNode";
import { sampleRequest } from "./sampleRequest";

const DURATION_MS = 60_000;
const REQUESTS = 4_000;
const WIRE_MS = 1;

/** More than a few requests must not start over `callerPresence.limitMs` after their callers left. */
const FEW = 3;

/** How a request that reached the node of the backend server ended. */
type Ending = { readonly isStarted: boolean; readonly hasWaited: boolean; readonly afterLeavingMs: number; };

/** Sends requests over two nodes that poll at such intervals; callers leave at any time, a request may wait for a slot. */
const play = (seed: number, turnMs: number): readonly Ending[] => {
    const random = new RandomSource(seed);
    const sender = new PollingNode(random, turnMs, DURATION_MS);
    const receiver = new PollingNode(random, turnMs, DURATION_MS);
    const endings: Ending[] = [];
    for (let count = 0; count < REQUESTS; count += 1) {
        const sentMs = random.fraction() * (DURATION_MS / 2);
        const leftMs = sentMs + random.fraction() * 3_000;
        const closeReadMs = sender.handledMs(leftMs);
        const writtenMs = sender.handledMs(sentMs);
        if (closeReadMs <= writtenMs) {
            continue;
        }
        const cancelReadMs = receiver.handledMs(closeReadMs + WIRE_MS);
        const readMs = receiver.handledMs(writtenMs + WIRE_MS);
        const polledMs = receiver.afterNextTurnMs(readMs);
        const unconfirmedMs = sender.sincePolledMs(writtenMs);
        let request: CallRequest = ageRequest(sampleRequest("r1", { unconfirmedMs }), polledMs - writtenMs);
        const hasWaited = random.fraction() < 0.5;
        const startedMs = hasWaited ? receiver.handledMs(polledMs + random.fraction() * 1_000) : polledMs;
        if (hasWaited) {
            request = callerPresence.afterWait(request, receiver.sincePolledMs(startedMs));
        }
        if (cancelReadMs > startedMs) {
            const isStarted = callerPresence.startWithinMs(request) >= 0;
            endings.push({ isStarted, hasWaited, afterLeavingMs: startedMs - leftMs });
        }
    }
    return endings;
};

const isLate = ({ afterLeavingMs, isStarted }: Ending): boolean => isStarted && afterLeavingMs > callerPresence.limitMs;

describe("callerPresence", () => {
    // Guards against GONE: what each node on the way of a request doesn't know of its caller adds up.
    test.each([20, 50, 100, 200, 300, 500])(
        "starts no request over the limit after its caller left, at nodes with turns of %i ms",
        (turnMs) => {
            const endings = [1, 2, 3].flatMap((seed) => play(seed, turnMs));
            expect(endings.filter((ending) => isLate(ending) && !ending.hasWaited)).toEqual([]);
            expect(endings.filter((ending) => isLate(ending) && ending.hasWaited).length).toBeLessThanOrEqual(FEW);
        },
    );

    test("refuses nothing at nodes that keep up", () => {
        const endings = [1, 2, 3].flatMap((seed) => play(seed, 20));
        expect(endings.length).toBeGreaterThan(REQUESTS);
        expect(endings.every(({ isStarted }) => isStarted)).toBe(true);
    });

    test("starts requests of nodes of a release that states nothing", () => {
        expect(callerPresence.startWithinMs(sampleRequest("r1"))).toBe(callerPresence.limitMs);
    });
});
