import { CrashLoad } from "./CrashLoad";

const DURATION_MS = 30_000;
const STEP_MS = 1_000;

/** At most this many runs of a crashing request may begin later than `Contact` after its third crash. */
const MAXIMUM_LATE_RUNS = 3;

/** At most one sound request in so many may be refused since backend servers crashed while it ran. */
const SOUND_REQUESTS_PER_REFUSAL = 1_000;

const runLoad = async (options: ConstructorParameters<typeof CrashLoad>[0]): Promise<CrashLoad> => {
    const load = new CrashLoad(options);
    let isOver = false;
    const run = load.run(DURATION_MS).then(() => {
        isOver = true;
    });
    while (!isOver) {
        await jest.advanceTimersByTimeAsync(STEP_MS);
    }
    await run;
    return load;
};

describe("a load with requests that crash backend servers", () => {
    beforeEach(() => {
        jest.useFakeTimers();
    });
    afterEach(() => {
        jest.useRealTimers();
    });

    test.each([
        { name: "one such request", crashingRequests: 1, copies: 1 },
        { name: "several copies of it at once", crashingRequests: 1, copies: 4 },
        { name: "several such requests at once", crashingRequests: 4, copies: 2 },
        { name: "sound requests of few contents beside it", crashingRequests: 2, copies: 3, soundContents: 40 },
        { name: "backend servers that also end for other causes", crashingRequests: 1, copies: 3, otherEndsMs: 700 },
        { name: "no such request, but many ends", crashingRequests: 0, copies: 0, otherEndsMs: 300 },
        { name: "many ends, few contents", crashingRequests: 0, copies: 0, soundContents: 40, otherEndsMs: 300 },
        {
            name: "a zone that is lost again and again",
            crashingRequests: 0,
            copies: 0,
            soundContents: 40,
            zoneEndsMs: 4_000,
        },
    ])("sends each to few of them and refuses hardly any other request: $name", async (options) => {
        for (const seed of [1, 2, 3]) {
            const load = await runLoad({ ...options, seed });
            expect(load.hasCrashedEnough).toBe(true);
            expect(load.lateRuns).toBeLessThanOrEqual(MAXIMUM_LATE_RUNS);
            expect(load.soundRefused * SOUND_REQUESTS_PER_REFUSAL).toBeLessThanOrEqual(load.sound);
        }
    });
});
