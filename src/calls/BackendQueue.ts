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
    /** Sets the time by which it must be answered. */
    readonly limitAnswer: (answerByMs: number) => void;
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
const stopping: CallResult = { kind: "not-run", reason: "stopping", retryAfterMs: 0 };

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
        return admission.kind === "refuse" ? this.refusalFor(admission) : undefined;
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
            outcome = this.refusalFor(admission);
        }
        else if (admission.kind === "wait") {
            this.scheduleNextStart();
            outcome = this.waitForSlot(call, signal);
        }
        this.options.onChange(true);
        return outcome;
    }

    /** Sets the time by which a waiting request must be answered. It is refused at once if it can't be. */
    public limitAnswer(key: number, answerByMs: number): void {
        const call = this.waiting.get(key);
        if (call) {
            call.limitAnswer(answerByMs);
            this.applyState(slotQueue.limitAnswer(this.queue, key, answerByMs));
        }
    }

    /** The same for all waiting requests. */
    public limitAnswers(answerByMs: number): void {
        [...this.waiting.keys()].forEach((key) => this.limitAnswer(key, answerByMs));
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

    private refusalFor(
        { isForStop, retryAfterMs }: ReturnType<typeof slotQueue.offer> & { readonly kind: "refuse"; },
    ): CallResult {
        return isForStop ? stopping : { kind: "not-run", reason: "no-room", retryAfterMs };
    }

    private waitForSlot(call: OfferedCall, signal: AbortSignal): Promise<CallResult | undefined> {
        const { deadlineMs, fingerprint, key, requestId } = call;
        return new Promise((resolve) => {
            let answerByMs = call.answerByMs ?? Number.POSITIVE_INFINITY;
            let timer: NodeJS.Timeout | undefined;
            const giveUp = (): CallResult => (answerByMs < deadlineMs ? stopping : expired);
            // Gives up one service time before the deadline, so that the sending node can still refuse the request as
            // not run.
            const startTimer = (): void => {
                clearTimeout(timer);
                const limitMs = Math.min(deadlineMs, answerByMs) - slotQueue.serviceMsOf(this.queue, call);
                timer = setTimeout(() => withdraw(giveUp()), limitMs - this.nowMs());
            };
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
            this.waiting.set(key, {
                requestId,
                fingerprint,
                start: () => finish(undefined),
                expire: () => finish(giveUp()),
                refuse: withdraw,
                limitAnswer: (limitMs) => {
                    answerByMs = Math.min(answerByMs, limitMs);
                    startTimer();
                },
            });
            startTimer();
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
