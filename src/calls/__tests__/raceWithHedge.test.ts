import { CallResult } from "../CallResult";
import { latencyEstimates } from "../latencyEstimates";
import { raceWithHedge } from "../raceWithHedge";

const answered = (status: number): CallResult => ({
    kind: "answered",
    answer: { status, reason: "", headers: [], body: Buffer.alloc(0) },
});
const notRun: CallResult = { kind: "not-run", reason: "no-room", retryAfterMs: 5 };
const broken: CallResult = { kind: "unknown", reason: "broken" };

/** An attempt that ends when it is told to, or when it is given up. */
const controlled = () => {
    let finish: (result: CallResult) => void = () => undefined;
    let wasGivenUp = false;
    const attempt = (signal: AbortSignal) =>
        new Promise<CallResult>((resolve) => {
            finish = resolve;
            signal.addEventListener("abort", () => {
                wasGivenUp = true;
                resolve({ kind: "unknown", reason: "cancelled" });
            });
        });
    return { attempt, finish: (result: CallResult) => finish(result), wasGivenUp: () => wasGivenUp };
};

describe("a request whose answer is overdue", () => {
    let chosen: () => void = () => undefined;
    let result: ReturnType<typeof raceWithHedge>;

    const begin = () => {
        const first = controlled();
        const second = controlled();
        const started = new Promise<void>((resolve) => {
            chosen = resolve;
        });
        const chooseSecond = () => {
            chosen();
            return second.attempt;
        };
        result = raceWithHedge({
            first: first.attempt,
            chooseSecond,
            delayMs: 5,
            signal: new AbortController().signal,
        });
        return { first, second, started };
    };

    test("is answered by the second attempt, and the first is given up", async () => {
        const { first, second, started } = begin();
        await started;
        second.finish(answered(200));
        expect(await result).toEqual({ result: answered(200), hedged: true });
        expect(first.wasGivenUp()).toBe(true);
    });

    test("is still answered by the first if that comes sooner", async () => {
        const { first, second, started } = begin();
        await started;
        first.finish(answered(200));
        expect((await result).result).toEqual(answered(200));
        expect(second.wasGivenUp()).toBe(true);
    });

    test("waits for the other attempt if one fails", async () => {
        const { first, second, started } = begin();
        await started;
        second.finish(answered(500));
        first.finish(answered(200));
        expect((await result).result).toEqual(answered(200));
    });

    test.each([[notRun, broken], [broken, notRun]])(
        "counts as not run only if no attempt may have run",
        async (left, right) => {
            const { first, second, started } = begin();
            await started;
            first.finish(left);
            second.finish(right);
            expect((await result).result).toEqual(broken);
        },
    );

    test("has no second attempt where none may be made", async () => {
        const first = controlled();
        const ended = raceWithHedge({
            first: first.attempt,
            chooseSecond: () => {
                setImmediate(() => first.finish(answered(200)));
                return undefined;
            },
            delayMs: 1,
            signal: new AbortController().signal,
        });
        expect(await ended).toEqual({ result: answered(200), hedged: false });
    });
});

describe("an answer", () => {
    test("is overdue only once usual times are known, and well beyond them", () => {
        let estimate: ReturnType<typeof latencyEstimates.note> | undefined;
        expect(latencyEstimates.hedgeDelayMs(estimate)).toBeUndefined();
        for (let sample = 0; sample < 200; sample += 1) {
            estimate = latencyEstimates.note(estimate, sample % 2 === 0 ? 80 : 120);
        }
        const delayMs = latencyEstimates.hedgeDelayMs(estimate);
        expect(delayMs).toBeGreaterThan(150);
        expect(delayMs).toBeLessThan(250);
    });
});
