import { Counter, Registry } from "prom-client";
import { CallRequest } from "../calls/CallRequest";
import { CallResult } from "../calls/CallResult";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { slotOutcome } from "./slotOutcome";

type SlotOutcome = ReturnType<typeof slotOutcome>;

type UsedRequest = Pick<CallRequest, "priority" | "route" | "service">;

/** The slot time in ms that requests of one route used since the last log line, and how many were refused. */
type RouteUsage = {
    readonly service: string;
    /** Of the first request: nested calls of a route have those of the requests that they are made for. */
    readonly priority: number;
    readonly spentMs: Record<SlotOutcome, number>;
    runs: number;
    refused: number;
    /** Refused although a slot was free. */
    refusedWithFreeSlot: number;
};

const LOG_INTERVAL_MS = 1_000;

/** Counts what the slots of the backend server of this host were used for, by route. */
export class SlotUsage {
    private readonly seconds: Counter;
    private byRoute = new Map<string, RouteUsage>();

    public constructor(registry: Registry) {
        this.seconds = new Counter({
            name: "filbertdeal_backend_slot_seconds_total",
            help: "Time that requests held slots of the backend server of this host, by priority and outcome",
            labelNames: ["priority", "outcome"],
            registers: [registry],
        });
    }

    /** @param lateMs how long after its target the request ended; negative before it */
    public recordRun(request: UsedRequest, result: CallResult, slotMs: number, lateMs: number): void {
        const outcome = slotOutcome(result, lateMs);
        this.seconds.inc({ priority: String(request.priority), outcome }, slotMs / 1_000);
        const usage = this.usageOf(request);
        usage.spentMs[outcome] += slotMs;
        usage.runs += 1;
    }

    public recordRefusal(request: UsedRequest, hasFreeSlot: boolean): void {
        const usage = this.usageOf(request);
        usage.refused += 1;
        usage.refusedWithFreeSlot += hasFreeSlot ? 1 : 0;
    }

    /** Logs the usage of each route at intervals, and when the store is disposed of. */
    public logPeriodically(log: EventLog, resources: DisposableStore, slots: () => number): void {
        const write = (): void => {
            const usages = this.byRoute;
            this.byRoute = new Map();
            usages.forEach(({ priority, refused, refusedWithFreeSlot, runs, service, spentMs }, route) =>
                log.infoRateLimited("slot-usage", {
                    route,
                    service,
                    priority,
                    slots: slots(),
                    runs,
                    inTimeMs: Math.round(spentMs["in-time"]),
                    lateMs: Math.round(spentMs.late),
                    failedMs: Math.round(spentMs.failed),
                    discardedMs: Math.round(spentMs.discarded),
                    refused,
                    refusedWithFreeSlot,
                })
            );
        };
        resources.every(LOG_INTERVAL_MS, write);
        resources.add({ dispose: write });
    }

    private usageOf({ priority, route, service }: UsedRequest): RouteUsage {
        const known = this.byRoute.get(route);
        if (known) {
            return known;
        }
        const spentMs = { "in-time": 0, "late": 0, "failed": 0, "discarded": 0 };
        const usage = { service, priority, spentMs, runs: 0, refused: 0, refusedWithFreeSlot: 0 };
        this.byRoute.set(route, usage);
        return usage;
    }
}
