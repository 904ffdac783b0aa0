import { Clock } from "../core/Clock";
import { BackendQueue } from "./BackendQueue";
import { HealthCheckClient } from "./HealthCheckClient";
import { HealthCheckResponse } from "./HealthCheckResponse";
import { healthCheckSchedule } from "./healthCheckSchedule";
import { slotQueue } from "./slotQueue";
import { startLimits } from "./startLimits";

/** What a health check is sent to. */
type HealthCheckTarget = {
    readonly address: string;
    readonly path: string;
    readonly instanceId: string;
};

/** Dependencies of the task. */
type HealthCheckOptions = {
    readonly clock: Clock;
    readonly client: HealthCheckClient;
    readonly queue: BackendQueue;
    /** Returns undefined if the backend server can't be checked now. */
    readonly target: () => HealthCheckTarget | undefined;
    /** @param sentAtMs time before which the response can't have been made */
    readonly onResponse: (target: HealthCheckTarget, response: HealthCheckResponse, sentAtMs: number) => void;
};

/** A heartbeat arrives within this time, so that a later response is of no use. */
const CHECK_TIMEOUT_MS = 1_500;

/** Sends health checks to the backend server of this host when the limit for cold backend servers needs them. */
export class HealthCheckTask {
    private schedule = healthCheckSchedule.idle;
    private hasDemand = false;
    private retryTimer: NodeJS.Timeout | undefined;

    public constructor(private readonly options: HealthCheckOptions) {}

    /**
     * Begins a health check if one is due and a slot is free for it. While none is free, it keeps the next one.
     * @param hasDemand true if a request waits or has just been offered
     */
    public consider(hasDemand: boolean): void {
        const { clock, queue, target: findTarget } = this.options;
        this.hasDemand ||= hasDemand;
        if (this.schedule.isRunning) {
            return;
        }
        clearTimeout(this.retryTimer);
        const nowMs = clock.monotonicMs();
        const target = findTarget();
        const isNeeded = target !== undefined
            && startLimits.needsCheck(queue.state.limits, this.hasDemand, nowMs);
        const isDue = healthCheckSchedule.isDue(this.schedule, isNeeded, nowMs);
        if (queue.state.isChecking !== isDue) {
            // Calls this method again, since the queue changes.
            queue.keepForCheck(isDue);
        }
        else if (isDue && target && slotQueue.hasCheckSlot(queue.state)) {
            void this.check(target, nowMs);
        }
        else if (isNeeded && !isDue) {
            const delayMs = Math.ceil(this.schedule.notBeforeMs - nowMs);
            this.retryTimer = setTimeout(() => this.consider(false), delayMs);
        }
    }

    private async check(target: HealthCheckTarget, sentAtMs: number): Promise<void> {
        const { client, clock, onResponse } = this.options;
        this.schedule = healthCheckSchedule.begin(this.schedule);
        this.hasDemand = false;
        const response = await client.check(target.address, target.path, CHECK_TIMEOUT_MS);
        const isUsable = response.kind === "answered" && response.coldRemainingMs !== undefined
            && response.instanceId === target.instanceId;
        this.schedule = healthCheckSchedule.end(this.schedule, isUsable, clock.monotonicMs());
        onResponse(target, response, sentAtMs);
        this.consider(false);
    }
}
