import { serviceTimes } from "../serviceTimes";
import { slotQueue } from "../slotQueue";

describe("serviceTimes", () => {
    const withSample = serviceTimes.record(serviceTimes.record(serviceTimes.initial, "reads", 30), "releases", 400);

    test("forgets the average of a route after many refusals because of it", () => {
        let times = withSample;
        for (let refusal = 0; refusal < 20; refusal += 1) {
            expect(times.routeServiceMs.has("releases")).toBe(true);
            times = serviceTimes.doubt(times, "releases");
        }
        expect(times.routeServiceMs.has("releases")).toBe(false);
        expect(times.routeServiceMs.get("reads")).toBe(30);
    });

    test("keeps it as long as requests of the route run", () => {
        let times = withSample;
        for (let round = 0; round < 10; round += 1) {
            for (let refusal = 0; refusal < 19; refusal += 1) {
                times = serviceTimes.doubt(times, "releases");
            }
            times = serviceTimes.record(times, "releases", 400);
        }
        expect(times.routeServiceMs.get("releases")).toBe(400);
    });
});

describe("slotQueue with a route whose run time was overestimated", () => {
    // Guards against urgent requests that get no slot until the load ends, because one of them once ran long.
    test("serves its urgent requests again while others fill the slots", () => {
        const call = (key: number, route: string, priority: number, nowMs: number) => ({
            key,
            route,
            priority,
            arrivedMs: nowMs,
            targetAtMs: nowMs + 200,
            deadlineMs: nowMs + 1_000,
        });
        let queue = slotQueue.create(1);
        for (let sample = 0; sample < 10; sample += 1) {
            queue = slotQueue.release(queue, "reads", 40, 0).state;
        }
        queue = slotQueue.release(queue, "releases", 400, 0).state;
        const started: string[] = [];
        for (let nowMs = 0, key = 0; nowMs < 4_000; nowMs += 40, key += 10) {
            const progress = slotQueue.release(queue, started.at(-1) ?? "reads", 40, nowMs);
            queue = progress.state;
            progress.started.forEach((each) => started.push(each % 10 === 0 ? "releases" : "reads"));
            const arrivals = [call(key, "releases", 0, nowMs), call(key + 1, "reads", 2, nowMs)];
            [...arrivals, call(key + 2, "reads", 2, nowMs)].forEach((each) => {
                const admission = slotQueue.offer(queue, each, nowMs);
                queue = admission.state;
                if (admission.kind === "start") {
                    started.push(each.route);
                }
            });
        }
        const latest = started.slice(-20);
        expect(latest.filter((route) => route === "releases").length).toBeGreaterThan(latest.length / 2);
    });
});
