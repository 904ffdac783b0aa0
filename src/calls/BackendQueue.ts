import { Clock } from "../core/Clock";
import { CallResult } from "./CallResult";
import { slotQueue } from "./slotQueue";
import { startLimits } from "./startLimits";

type Limits = typeof startLimits.none;

type WaitingCall = {
    readonly fingerprint: string | undefined;
    readonly start: () => void;
    readonly expire: () => void;
    /** Removes the request from the queue and ends its wait with this result. */
    readonly refuse: (result: CallResult) => void;
    readonly requestId: string;
};

type OfferedCall = Parameters<typeof slotQueue.offer>[1] & {
    readonly requestId: string;
    readonly fingerprint: string | undefined;
};

/** Dependencies of the queue. */
type QueueOptions = {
    readonly clock: Clock;
    /** Called after each change. `hasDemand` is true if a request waits or has just been offered. */
    readonly onChange: (hasDemand: boolean) => void;
};

const cancelled: CallResult = { kind: "not-run", reason: "cancelled", retryAfterMs: 0 };
const expired: CallResult = { kind: "not-run", reason: "expired", retryAfterMs: 0 };

/** The slots of the backend server of this host, and the requests that wait for them. */
export class BackendQueue {
    private readonly waiting = new Map<number, WaitingCall>();
    private queue = slotQueue.create(1);
    private startTimer: NodeJS.Timeout | undefined;

    public constructor(private readonly options: QueueOptions) {}

    public get state(): ReturnType<typeof slotQueue.create> {
        return this.queue;
    }

    /** Time to report to each of several nodes between its requests, see `BackendLoad`. */
    public pacingMs(nodes: number): number | undefined {
        return slotQueue.pacingMs(this.queue, nodes, this.nowMs());
    }

    public resize(slots: number): void {
        this.applyState(slotQueue.resize(this.queue, slots));
    }

    public changeLimits(change: (limits: Limits, nowMs: number) => Limits): void {
        this.applyState(slotQueue.changeLimits(this.queue, change(this.queue.limits, this.nowMs())));
    }

    /** Keeps a slot for a health check, or gives it back. */
    public keepForCheck(isChecking: boolean): void {
        this.applyState(slotQueue.keepForCheck(this.queue, isChecking));
    }

    /** Returns why a request would be refused now, or undefined if it would not. Nothing is reserved for it. */
    public refusalOf(call: OfferedCall): CallResult | undefined {
        const admission = slotQueue.offer(this.queue, call, this.nowMs());
        return admission.kind === "refuse" ? this.noRoom(admission.retryAfterMs) : undefined;
    }

    /**
     * Asks for a slot.
     * @returns undefined once the request holds a slot, or the reason why it gets none; a promise only if it has to wait
     */
    public enter(
        call: OfferedCall,
        signal: AbortSignal,
    ): CallResult | undefined | Promise<CallResult | undefined> {
        const admission = slotQueue.offer(this.queue, call, call.arrivedMs);
        this.queue = admission.state;
        let outcome: ReturnType<typeof this.enter>;
        if (admission.kind === "refuse") {
            outcome = this.noRoom(admission.retryAfterMs);
        }
        else if (admission.kind === "wait") {
            this.scheduleNextStart();
            // Gives up one service time before the deadline, so that the sending node can still refuse the request as
            // not run.
            const limitMs = call.deadlineMs - slotQueue.serviceMsOf(this.queue, call) - call.arrivedMs;
            outcome = this.waitForSlot(call, signal, limitMs);
        }
        this.options.onChange(true);
        return outcome;
    }

    /** Refuses all waiting requests, or those with the given fingerprint. Returns how many there were. */
    public refuseWaiting(resultOf: (requestId: string) => CallResult, fingerprint?: string): number {
        const refused = [...this.waiting.values()].filter((call) =>
            fingerprint === undefined || call.fingerprint === fingerprint
        );
        refused.forEach(({ refuse, requestId }) => refuse(resultOf(requestId)));
        return refused.length;
    }

    /** Frees a slot, see `slotQueue.release`. */
    public leave(route: string, serviceMs: number | undefined): void {
        this.applyProgress(slotQueue.release(this.queue, route, serviceMs, this.nowMs()));
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private noRoom(retryAfterMs: number): CallResult {
        return { kind: "not-run", reason: "no-room", retryAfterMs };
    }

    private waitForSlot(
        { fingerprint, key, requestId }: OfferedCall,
        signal: AbortSignal,
        limitMs: number,
    ): Promise<CallResult | undefined> {
        return new Promise((resolve) => {
            const finish = (refusal: CallResult | undefined): void => {
                clearTimeout(timer);
                this.waiting.delete(key);
                signal.removeEventListener("abort", onAbort);
                resolve(refusal);
            };
            const withdraw = (refusal: CallResult): void => {
                this.queue = slotQueue.withdraw(this.queue, key);
                finish(refusal);
            };
            const onAbort = (): void => withdraw(cancelled);
            const timer = setTimeout(() => withdraw(expired), limitMs);
            this.waiting.set(key, {
                requestId,
                fingerprint,
                start: () => finish(undefined),
                expire: () => finish(expired),
                refuse: withdraw,
            });
            signal.addEventListener("abort", onAbort, { once: true });
        });
    }

    private applyState(state: typeof this.queue): void {
        this.applyProgress(slotQueue.advance(state, this.nowMs()));
    }

    private applyProgress({ expired: expiredKeys, started, state }: ReturnType<typeof slotQueue.advance>): void {
        this.queue = state;
        expiredKeys.forEach((key) => this.waiting.get(key)?.expire());
        started.forEach((key) => this.waiting.get(key)?.start());
        this.scheduleNextStart();
        this.options.onChange(state.waiting.length > 0);
    }

    /** Starts the next waiting request once the limits of the backend server allow it. */
    private scheduleNextStart(): void {
        clearTimeout(this.startTimer);
        const delayMs = slotQueue.nextStartMs(this.queue, this.nowMs());
        if (delayMs !== undefined) {
            this.startTimer = setTimeout(() => this.applyState(this.queue), Math.ceil(delayMs));
        }
    }
}
