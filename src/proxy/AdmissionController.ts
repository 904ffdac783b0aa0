import { ServiceClass } from "../catalogue/ServiceClass";
import { Clock } from "../core/Clock";
import { admissionQueue } from "./admissionQueue";
import { AdmissionState } from "./AdmissionState";

/** A request to be admitted. */
type AdmissionRequest = {
    readonly class: ServiceClass;
    readonly caller: string;
    /** Deadline on the monotonic clock, in milliseconds. */
    readonly deadlineMs: number;
    /** Aborts when the caller disconnects or the deadline passes; a queued request is then refused. */
    readonly signal: AbortSignal;
};

/** An admitted request must call `release` when it has ended. A refused one gets the time to wait before a retry. */
type Admission =
    | { readonly admitted: true; readonly release: () => void; }
    | { readonly admitted: false; readonly retryAfterMs: number; };

type Limits = Parameters<typeof admissionQueue.arrive>[2];

/** Limits the concurrent requests to one resource. Queues or refuses the others, as `admissionQueue` decides. */
export class AdmissionController {
    private readonly pending = new Map<number, (admission: Admission) => void>();
    private state: AdmissionState = admissionQueue.initial;
    private nextId = 1;
    /** When this node ends, if it stops. */
    private endMs: number | undefined;

    public constructor(private readonly clock: Clock, private readonly limits: () => Limits) {}

    public get active(): number {
        return this.state.active;
    }

    /** From now on, requests start only if they can end by this time of the monotonic clock, at which the node ends. */
    public limitTo(endMs: number): void {
        this.endMs = endMs;
    }

    /** Refuses the requests that are queued. */
    public refuseQueued(): void {
        this.state.queue.forEach(({ id }) => this.cancel(id));
    }

    /** Resolves once the request may start or is refused, which can also happen while it is queued. */
    public admit({ caller, class: serviceClass, deadlineMs, signal }: AdmissionRequest): Promise<Admission> {
        const nowMs = this.clock.monotonicMs();
        const { endMs = Number.POSITIVE_INFINITY } = this;
        if (!admissionQueue.canEndBy(this.state, endMs, this.limits(), nowMs)) {
            return Promise.resolve({ admitted: false, retryAfterMs: 0 });
        }
        const id = this.nextId;
        this.nextId += 1;
        return new Promise((resolve) => {
            const onAbort = (): void => this.cancel(id);
            this.pending.set(id, (admission) => {
                signal.removeEventListener("abort", onAbort);
                resolve(admission);
            });
            signal.addEventListener("abort", onAbort);
            const request = { id, class: serviceClass, caller, deadlineMs: Math.min(deadlineMs, endMs) };
            this.applyDecision(admissionQueue.arrive(this.state, request, this.limits(), nowMs));
        });
    }

    private applyDecision({ refused, started, state }: ReturnType<typeof admissionQueue.arrive>): void {
        this.state = state;
        started.forEach((id) => this.settle(id, { admitted: true, release: this.createRelease() }));
        const retryAfterMs = Math.ceil(admissionQueue.expectedWaitMs(state, this.limits()));
        refused.forEach((id) => this.settle(id, { admitted: false, retryAfterMs }));
    }

    private settle(id: number, admission: Admission): void {
        const resolve = this.pending.get(id);
        this.pending.delete(id);
        resolve?.(admission);
    }

    /** Returns a function that ends the request and starts queued ones. Calls after the first one have no effect. */
    private createRelease(): () => void {
        const startedMs = this.clock.monotonicMs();
        let released = false;
        return () => {
            if (released) {
                return;
            }
            released = true;
            const nowMs = this.clock.monotonicMs();
            this.applyDecision(admissionQueue.finish(this.state, nowMs - startedMs, this.limits(), nowMs));
        };
    }

    private cancel(id: number): void {
        this.state = admissionQueue.cancel(this.state, id);
        this.settle(id, { admitted: false, retryAfterMs: 0 });
    }
}
