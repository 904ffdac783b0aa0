import { ServiceClass } from "../catalogue/ServiceClass";
import { Clock } from "../core/Clock";
import { admissions } from "./admissions";
import { AdmissionState } from "./AdmissionState";

/** A request that asks to be admitted. */
type GateRequest = {
    readonly class: ServiceClass;
    readonly caller: string;
    /** On the monotonic clock, in milliseconds. */
    readonly deadlineMs: number;
    /** Aborts when the caller gives up. */
    readonly signal: AbortSignal;
};

/** An admitted request must call `release` once it is done; a refused one is told when to come back. */
type Admission =
    | { readonly admitted: true; readonly release: () => void; }
    | { readonly admitted: false; readonly retryAfterMs: number; };

type Limits = Parameters<typeof admissions.arrive>[2];

/** Runs the admission decisions for one bounded resource. */
export class AdmissionGate {
    private readonly waiting = new Map<number, (admission: Admission) => void>();
    private state: AdmissionState = admissions.initial;
    private nextId = 1;

    public constructor(private readonly clock: Clock, private readonly limits: () => Limits) {}

    public get active(): number {
        return this.state.active;
    }

    /** Resolves when the request may start, or at once when it is refused. */
    public enter({ caller, class: serviceClass, deadlineMs, signal }: GateRequest): Promise<Admission> {
        const id = this.nextId;
        this.nextId += 1;
        return new Promise((resolve) => {
            const onAbort = (): void => this.abandon(id);
            this.waiting.set(id, (admission) => {
                signal.removeEventListener("abort", onAbort);
                resolve(admission);
            });
            signal.addEventListener("abort", onAbort);
            const request = { id, class: serviceClass, caller, deadlineMs };
            this.take(admissions.arrive(this.state, request, this.limits(), this.clock.monotonicMs()));
        });
    }

    private take({ refused, started, state }: ReturnType<typeof admissions.arrive>): void {
        this.state = state;
        started.forEach((id) => this.settle(id, { admitted: true, release: this.releaseOnce() }));
        const retryAfterMs = Math.ceil(admissions.expectedWaitMs(state, this.limits()));
        refused.forEach((id) => this.settle(id, { admitted: false, retryAfterMs }));
    }

    private settle(id: number, admission: Admission): void {
        const resolve = this.waiting.get(id);
        this.waiting.delete(id);
        resolve?.(admission);
    }

    private releaseOnce(): () => void {
        const startedMs = this.clock.monotonicMs();
        let released = false;
        return () => {
            if (released) {
                return;
            }
            released = true;
            const nowMs = this.clock.monotonicMs();
            this.take(admissions.finish(this.state, nowMs - startedMs, this.limits(), nowMs));
        };
    }

    private abandon(id: number): void {
        this.state = admissions.abandon(this.state, id);
        this.settle(id, { admitted: false, retryAfterMs: 0 });
    }
}
