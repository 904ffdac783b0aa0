import * as fc from "fast-check";
import { tokenBucket } from "../tokenBucket";

describe("tokenBucket", () => {
    test("allows at most the rate and a burst in any window, whatever arrives and however the limit changes", () => {
        const arrival = fc.record({
            afterMs: fc.integer({ min: 0, max: 300 }),
            limit: fc.option(fc.double({ min: 0, max: 40, noNaN: true }), { nil: undefined, freq: 20 }),
        });
        fc.assert(
            fc.property(fc.array(arrival, { minLength: 50, maxLength: 400 }), (arrivals) => {
                let nowMs = 0;
                let bucket = tokenBucket.create(10, nowMs);
                let highestRate = bucket.rate;
                const startedMs: number[] = [];
                for (const { afterMs, limit } of arrivals) {
                    nowMs += afterMs;
                    if (limit !== undefined) {
                        bucket = tokenBucket.changeLimit(bucket, limit, nowMs);
                        highestRate = Math.max(highestRate, bucket.rate);
                    }
                    if (tokenBucket.waitMs(bucket, 1, nowMs) === 0) {
                        bucket = tokenBucket.take(bucket, nowMs);
                        startedMs.push(nowMs);
                    }
                }
                const windowMs = 4_000;
                for (const fromMs of startedMs) {
                    const inWindow = startedMs.filter((ms) => ms >= fromMs && ms < fromMs + windowMs).length;
                    expect(inWindow).toBeLessThanOrEqual(1.1 * highestRate * (windowMs / 1_000) + 2);
                }
            }),
            { seed: 17, numRuns: 200 },
        );
    });

    test("allows a request every two seconds if the limit is 0, so that a later limit becomes known", () => {
        const bucket = tokenBucket.create(0, 1_000);
        expect(tokenBucket.waitMs(bucket, 1, 1_000)).toBe(2_000);
        expect(tokenBucket.waitMs(bucket, 1, 3_000)).toBe(0);
    });
});
