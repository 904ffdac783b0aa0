import { Clock } from "../core/Clock";
import { BackendClient } from "./BackendClient";
import { BackendLoad } from "./BackendLoad";
import { CallOrder } from "./CallOrder";
import { CallResult } from "./CallResult";
import { isServerError } from "./isServerError";
import { LocalInstance } from "./LocalInstance";
import { slotQueue } from "./slotQueue";

/** What the inbound side of a node is built from. */
type ReceiverOptions = {
    readonly clock: Clock;
    readonly client: BackendClient;
    /** Time after which a leaving backend server gets no more requests, in ms since it said so. */
    readonly leavingGraceMs: number;
    /** Called for each request that was not simply served. */
    readonly onDecision: (order: CallOrder, result: CallResult, details: Details) => void;
};

type Details = {
    readonly waitedMs: number;
    readonly waiting: number;
    readonly active: number;
    readonly serviceMs: number;
};

type WaitingCall = {
    readonly start: () => void;
    readonly expire: () => void;
};

/** A request in the hands of this node. */
type HeldCall = {
    readonly from: string;
    readonly order: CallOrder;
    readonly arrivedMs: number;
    readonly signal: AbortSignal;
};

/** Weight of a new outcome in the failure share: about the last 15 requests count. */
const FAILURE_WEIGHT = 0.07;

/** Reasons that speak against the backend server itself. */
const tellingReasons: ReadonlySet<string> = new Set(["shed", "unreachable", "broken", "timed-out", "unsigned"]);

const cancelled: CallResult = { kind: "not-run", reason: "cancelled", retryAfterMs: 0 };
const expired: CallResult = { kind: "not-run", reason: "expired", retryAfterMs: 0 };
const notHere: CallResult = { kind: "not-run", reason: "not-here", retryAfterMs: 0 };

/** Takes requests for the backend server of this host and sends it never more at a time than it has slots. */
export class CallReceiver {
    private readonly waiting = new Map<number, WaitingCall>();
    private readonly countByNode = new Map<string, number>();
    private instance: LocalInstance | undefined;
    private queue = slotQueue.create(1);
    private failureShare = 0;
    private lastKey = 0;
    private held = 0;

    public constructor(private readonly options: ReceiverOptions) {}

    /** Requests that run or wait here. */
    public get activeCalls(): number {
        return this.held;
    }

    public get present(): LocalInstance | undefined {
        return this.instance;
    }

    /** Takes in what the backend server said of itself. A new start begins with a clean record. */
    public follow(instance: LocalInstance | undefined): void {
        const isNewStart = instance?.id !== this.instance?.id || instance?.bornMs !== this.instance?.bornMs;
        if (isNewStart) {
            this.failureShare = 0;
            this.options.client.closeIdle();
        }
        this.instance = instance;
        this.progress(slotQueue.advance(slotQueue.resize(this.queue, instance?.slots ?? 1), this.nowMs()));
    }

    /** Runs a request here, or refuses it with the promise that it never runs. */
    public async receive(from: string, order: CallOrder, signal: AbortSignal): Promise<CallResult> {
        const call: HeldCall = { from, order, arrivedMs: this.nowMs(), signal };
        this.held += 1;
        this.countByNode.set(from, (this.countByNode.get(from) ?? 0) + 1);
        try {
            const result = await this.admit(call);
            this.report(call, result);
            return result;
        }
        finally {
            this.held -= 1;
            this.countByNode.set(from, (this.countByNode.get(from) ?? 1) - 1);
        }
    }

    /** The load as it is told to the given node. */
    public loadFor(node: string): BackendLoad | undefined {
        const { instance } = this;
        if (!instance) {
            return undefined;
        }
        return {
            instanceId: instance.id,
            total: this.held,
            yours: this.countByNode.get(node) ?? 0,
            serviceMs: this.queue.serviceMs,
            failureShare: this.failureShare,
        };
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private async admit(call: HeldCall): Promise<CallResult> {
        const { arrivedMs, order } = call;
        if (!this.takes(order)) {
            return notHere;
        }
        this.lastKey += 1;
        const key = this.lastKey;
        const deadlineMs = arrivedMs + order.remainingMs;
        const targetAtMs = arrivedMs + order.targetRemainingMs;
        const { priority, route } = order;
        const waiting = { key, route, priority, arrivedMs, targetAtMs, deadlineMs };
        const admission = slotQueue.offer(this.queue, waiting, arrivedMs);
        this.queue = admission.state;
        if (admission.kind === "refuse") {
            return { kind: "not-run", reason: "no-room", retryAfterMs: admission.retryAfterMs };
        }
        if (admission.kind === "wait") {
            // Told in time, the node that asked can still refuse the request as not run.
            const givenUpAtMs = deadlineMs - this.queue.serviceMs;
            const refusal = await this.waitForSlot(key, call.signal, givenUpAtMs - arrivedMs);
            if (refusal) {
                return refusal;
            }
        }
        return this.run(call, deadlineMs);
    }

    /** True if the request is for the backend server that is here now, and that still takes requests. */
    private takes({ instanceId, service }: CallOrder): boolean {
        const { instance } = this;
        if (!instance || instance.id !== instanceId || instance.service !== service) {
            return false;
        }
        const { leavingSinceMs } = instance;
        return leavingSinceMs === undefined || this.nowMs() - leavingSinceMs < this.options.leavingGraceMs;
    }

    private waitForSlot(key: number, signal: AbortSignal, limitMs: number): Promise<CallResult | undefined> {
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
            this.waiting.set(key, { start: () => finish(undefined), expire: () => finish(expired) });
            signal.addEventListener("abort", onAbort, { once: true });
        });
    }

    /** Holds a slot while the backend server runs the request. */
    private async run(call: HeldCall, deadlineMs: number): Promise<CallResult> {
        const { order, signal } = call;
        const startedMs = this.nowMs();
        let result: CallResult = signal.aborted ? cancelled : expired;
        const { instance } = this;
        if (!signal.aborted && deadlineMs > startedMs) {
            result = instance && this.takes(order)
                ? await this.options.client.send(instance.address, order, deadlineMs - startedMs, signal)
                : notHere;
        }
        const nowMs = this.nowMs();
        this.noteOutcome(result);
        const informative = result.kind === "answered" || (result.kind === "unknown" && result.reason === "timed-out");
        this.progress(slotQueue.release(this.queue, order.route, informative ? nowMs - startedMs : undefined, nowMs));
        return result;
    }

    private noteOutcome(result: CallResult): void {
        if (result.kind !== "answered" && !tellingReasons.has(result.reason)) {
            return;
        }
        const failed = result.kind !== "answered" || isServerError(result.answer.status);
        this.failureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - this.failureShare);
    }

    private progress({ expired: over, started, state }: ReturnType<typeof slotQueue.advance>): void {
        this.queue = state;
        over.forEach((key) => this.waiting.get(key)?.expire());
        started.forEach((key) => this.waiting.get(key)?.start());
    }

    private report({ arrivedMs, order }: HeldCall, result: CallResult): void {
        if (result.kind === "answered") {
            return;
        }
        this.options.onDecision(order, result, {
            waitedMs: Math.round(this.nowMs() - arrivedMs),
            waiting: this.queue.waiting.length,
            active: this.queue.active,
            serviceMs: Math.round(this.queue.serviceMs),
        });
    }
}
