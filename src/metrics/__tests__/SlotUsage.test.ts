import { Registry } from "prom-client";
import { sampleRequest } from "../../calls/__tests__/sampleRequest";
import { CallResult } from "../../calls/CallResult";
import { DisposableStore } from "../../core/DisposableStore";
import { EventLog } from "../../core/EventLog";
import { SlotUsage } from "../SlotUsage";

const answered = (status: number): CallResult => ({
    kind: "answered",
    answer: { status, reason: "", headers: [], body: Buffer.alloc(0) },
});

describe("SlotUsage", () => {
    const request = sampleRequest("r-1", { route: "reads", service: "desk", priority: 2 });

    test("tells time for responses in time from late, failed and discarded ones, by route", async () => {
        const registry = new Registry();
        const usage = new SlotUsage(registry);
        usage.recordRun(request, answered(200), 40, -10);
        usage.recordRun(request, answered(200), 50, 0);
        usage.recordRun(request, answered(200), 60, 5);
        usage.recordRun(request, answered(500), 70, -5);
        usage.recordRun(request, { kind: "unknown", reason: "cancelled" }, 80, -5);
        usage.recordRefusal(request, true);
        usage.recordRefusal(request, false);
        const lines: unknown[] = [];
        const resources = new DisposableStore();
        const log = { infoRateLimited: (event: string, fields: object) => lines.push({ event, ...fields }) };
        usage.logPeriodically(log as unknown as EventLog, resources, () => 6);
        await resources.dispose();
        expect(lines).toEqual([{
            event: "slot-usage",
            route: "reads",
            service: "desk",
            priority: 2,
            slots: 6,
            runs: 5,
            inTimeMs: 90,
            lateMs: 60,
            failedMs: 70,
            discardedMs: 80,
            refused: 2,
            refusedWithFreeSlot: 1,
        }]);
        expect(await registry.metrics()).toContain(
            "filbertdeal_backend_slot_seconds_total{priority=\"2\",outcome=\"in-time\"} 0.09",
        );
    });
});
