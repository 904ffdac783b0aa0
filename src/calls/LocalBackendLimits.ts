import { MeshService } from "../configuration/MeshService";
import { Clock } from "../core/Clock";
import { BackendQueue } from "./BackendQueue";
import { BackendStatements } from "./BackendStatements";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { coldness } from "./coldness";
import { HealthCheckClient } from "./HealthCheckClient";
import { HealthCheckResponse } from "./HealthCheckResponse";
import { HealthCheckTask } from "./HealthCheckTask";
import { LocalInstance } from "./LocalInstance";
import { startLimits } from "./startLimits";

/** Whether the limit for cold backend servers is in effect, and whether by the backend server's own statement. */
type ColdState = "cold" | "uncertain" | "warm";

/** Dependencies and settings of the limits. */
type LimitOptions = {
    readonly clock: Clock;
    readonly statements: BackendStatements;
    readonly healthChecks: HealthCheckClient;
    /** A cold backend server may get the rate that it tolerates times `overage`, plus `slack`, in any second. */
    readonly cold: { readonly overage: number; readonly slack: number; };
    /** Called when the limit for cold backend servers takes or loses effect. */
    readonly onColdChange: (instance: LocalInstance, state: ColdState) => void;
    /** Called with the outcome of each health check. */
    readonly onHealthCheck: (instanceId: string, outcome: string) => void;
};

/** Applies to the queue of this host's backend server what limits the rate of its requests. */
export class LocalBackendLimits {
    public readonly queue: BackendQueue;
    private readonly checks: HealthCheckTask;
    private services: readonly MeshService[] | undefined;
    private reportedState: ColdState = "warm";

    public constructor(private readonly options: LimitOptions) {
        const { clock, healthChecks } = options;
        this.queue = new BackendQueue({
            clock,
            onChange: (hasDemand) => {
                this.reportChange();
                this.checks.consider(hasDemand);
            },
        });
        this.checks = new HealthCheckTask({
            clock,
            client: healthChecks,
            queue: this.queue,
            target: () => this.checkTarget(),
            onResponse: ({ instanceId }, response, sentAtMs) => this.onHealthCheck(instanceId, response, sentAtMs),
        });
    }

    /** The lowest limit in effect, undefined for none. */
    public get inEffect(): ReturnType<typeof startLimits.inEffect> {
        return startLimits.inEffect(this.queue.state.limits, this.nowMs());
    }

    /** See `BackendLoad`. */
    public get coldRemainingMs(): number | undefined {
        const { cold, coldness: { statedUntilMs } } = this.queue.state.limits;
        const remainingMs = statedUntilMs - this.nowMs();
        return cold && remainingMs > 0 ? Math.ceil(remainingMs) : undefined;
    }

    /** Applies the services of the configuration in force. */
    public configure(services: readonly MeshService[]): void {
        this.services = services;
        this.applyColdRate(this.ownService?.coldRequestsPerSecond);
    }

    /** Uses the rate that a sender knows until this node has a configuration itself. */
    public learnFrom({ coldRequestsPerSecond }: CallRequest): void {
        if (!this.services && coldRequestsPerSecond !== undefined) {
            this.applyColdRate(coldRequestsPerSecond);
        }
    }

    /** Applies an announcement of the backend server. */
    public onAnnounced({ warmAtMs }: LocalInstance, isNewStart: boolean): void {
        this.queue.changeLimits((limits, nowMs) =>
            startLimits.applyStatement(
                isNewStart ? startLimits.restart(limits) : limits,
                coldness.heartbeat(Math.max(0, warmAtMs - nowMs), nowMs),
                nowMs,
            )
        );
        if (this.services) {
            this.applyColdRate(this.ownService?.coldRequestsPerSecond);
        }
    }

    public applyStated(limitPerSecond: number | undefined): void {
        this.queue.changeLimits((limits, nowMs) => startLimits.applyStated(limits, limitPerSecond, nowMs));
    }

    /** Notes how a request ended: a connection that was refused or reset means that the backend server may be new. */
    public onResult(result: CallResult, wasCancelled: boolean): void {
        const isSuspicious = result.kind !== "answered"
            && (result.reason === "broken" || result.reason === "backend-ended"
                || (result.reason === "unreachable" && !wasCancelled));
        if (isSuspicious && this.queue.state.limits.cold) {
            this.queue.changeLimits(startLimits.suspect);
        }
    }

    private get ownService(): MeshService | undefined {
        return this.services?.find(({ name }) => name === this.options.statements.instance?.service);
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private applyColdRate(perSecond: number | undefined): void {
        const rate = perSecond ? { perSecond, ...this.options.cold } : undefined;
        this.queue.changeLimits((limits, nowMs) => startLimits.applyColdRate(limits, rate, nowMs));
    }

    private checkTarget() {
        const { instance, isEvacuated } = this.options.statements;
        const service = this.ownService;
        if (!instance || !service || isEvacuated || instance.drainingSinceMs !== undefined) {
            return undefined;
        }
        return { address: instance.address, path: service.healthCheckPath, instanceId: instance.id };
    }

    private onHealthCheck(instanceId: string, response: HealthCheckResponse, sentAtMs: number): void {
        this.options.onHealthCheck(instanceId, this.applyResponse(instanceId, response, sentAtMs));
    }

    /** Returns the outcome for the metrics. */
    private applyResponse(instanceId: string, response: HealthCheckResponse, sentAtMs: number): string {
        if (response.kind === "timed-out") {
            return response.kind;
        }
        if (response.kind !== "answered") {
            this.queue.changeLimits(startLimits.suspect);
            return response.kind;
        }
        if (response.instanceId !== undefined && response.instanceId !== instanceId) {
            this.queue.changeLimits(startLimits.suspect);
            return "other-instance";
        }
        const { coldRemainingMs } = response;
        if (coldRemainingMs === undefined || response.instanceId === undefined) {
            return "nothing-stated";
        }
        // The response is of an earlier start if another one was announced since.
        if (this.options.statements.instance?.id === instanceId) {
            const statement = { notBeforeMs: sentAtMs, coldRemainingMs };
            this.queue.changeLimits((limits, nowMs) => startLimits.applyStatement(limits, statement, nowMs));
        }
        return coldRemainingMs > 0 ? "cold" : "warm";
    }

    private reportChange(): void {
        const { instance } = this.options.statements;
        const { limits } = this.queue.state;
        const nowMs = this.nowMs();
        let state: ColdState = "warm";
        if (instance && startLimits.isCold(limits, nowMs)) {
            state = coldness.isStated(limits.coldness, nowMs) ? "cold" : "uncertain";
        }
        if (instance && state !== this.reportedState) {
            this.reportedState = state;
            this.options.onColdChange(instance, state);
        }
    }
}
