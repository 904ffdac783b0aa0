import { Clock } from "../core/Clock";
import { GrowingBuffer } from "../core/GrowingBuffer";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { transferQueue } from "./transferQueue";

/** Dependencies and settings of the receiver. */
type BodyReceiverOptions = {
    readonly clock: Clock;
    /** Bandwidth of the link of this host. */
    readonly linkBytesPerMs: number;
    /** Limit of the bytes of all bodies, until their requests have ended. */
    readonly limitBytes: number;
};

/** A body that another node offers to send. */
type OfferedBody = {
    /** The request, without its body. */
    readonly request: CallRequest;
    readonly expectedBytes: number;
    /** How long the request runs once its body has arrived. */
    readonly runMs: number;
    /** Allows the sender to send so many more bytes. */
    readonly sendCredit: (bytes: number) => void;
    /** Called with a function that takes the chunks. */
    readonly onStarted: (addChunk: (chunk: Uint8Array) => void) => void;
    readonly signal: AbortSignal;
};

/** A body that is being received. */
type PartialBody = {
    readonly content: GrowingBuffer;
    lastReceivedAtMs: number;
    readonly expectedBytes: number;
    readonly sendCredit: (bytes: number) => void;
    readonly finish: (result: Uint8Array | CallResult) => void;
};

/** A body's sender has stopped responding if nothing arrives for this long although it may send. */
const STALL_TIMEOUT_MS = 600;
const STALL_CHECK_INTERVAL_MS = 100;

const cancelled: CallResult = { kind: "not-run", reason: "cancelled", retryAfterMs: 0 };
const stalled: CallResult = { kind: "not-run", reason: "link-down", retryAfterMs: 0 };

/** Receives the bodies of offered requests from other nodes: large ones in chunks, as the link of this host has room. */
export class BodyReceiver {
    private readonly bodies = new Map<number, PartialBody>();
    private queue: ReturnType<typeof transferQueue.create>;
    private lastKey = 0;
    private heldBytes = 0;

    public constructor(private readonly options: BodyReceiverOptions) {
        this.queue = transferQueue.create(options.linkBytesPerMs);
    }

    /** Bytes of the bodies that are being received, or whose requests run. */
    public get pendingBytes(): number {
        return this.heldBytes;
    }

    /** Expected time until a body that is offered now begins to arrive. */
    public get expectedWaitMs(): number {
        return transferQueue.expectedMs(this.queue, 0);
    }

    /**
     * Receives the body of a request. Resolves to the complete body, or to why the request is not going to run. A complete
     * body counts against the limit until it is released.
     */
    public receive(offered: OfferedBody): Promise<Uint8Array | CallResult> {
        const { expectedBytes, onStarted, request, runMs, sendCredit, signal } = offered;
        const nowMs = this.options.clock.monotonicMs();
        this.lastKey += 1;
        const key = this.lastKey;
        // A body of one chunk is sent at once; only larger ones share out the link.
        const isSmall = expectedBytes <= transferQueue.chunkBytes;
        if (!isSmall) {
            const transfer = {
                key,
                remainingBytes: expectedBytes,
                inFlightBytes: 0,
                targetAtMs: nowMs + request.targetRemainingMs,
                deadlineMs: nowMs + request.remainingMs,
            };
            const admission = transferQueue.offer(this.queue, transfer, runMs, nowMs);
            if (admission.kind === "refuse" || this.heldBytes + expectedBytes > this.options.limitBytes) {
                const retryAfterMs = admission.kind === "refuse" ? admission.retryAfterMs : this.expectedWaitMs;
                return Promise.resolve({ kind: "not-run", reason: "no-room", retryAfterMs });
            }
            this.queue = admission.state;
        }
        this.heldBytes += expectedBytes;
        return new Promise((resolve) => {
            const onAbort = (): void => finish(cancelled);
            const timer = setInterval(() => this.checkStalled(key), STALL_CHECK_INTERVAL_MS);
            const finish = (result: Uint8Array | CallResult): void => {
                clearInterval(timer);
                signal.removeEventListener("abort", onAbort);
                this.bodies.delete(key);
                if (!(result instanceof Uint8Array)) {
                    this.release(expectedBytes);
                }
                this.queue = transferQueue.remove(this.queue, key);
                this.sendCredits();
                resolve(result);
            };
            this.bodies.set(key, {
                content: new GrowingBuffer(expectedBytes, expectedBytes),
                lastReceivedAtMs: nowMs,
                expectedBytes,
                sendCredit,
                finish,
            });
            signal.addEventListener("abort", onAbort, { once: true });
            onStarted((chunk) => this.addChunk(key, chunk));
            if (isSmall) {
                sendCredit(expectedBytes);
            }
            else {
                this.sendCredits();
            }
        });
    }

    /** Frees the bytes of a complete body whose request has ended. */
    public release(bytes: number): void {
        this.heldBytes -= bytes;
    }

    private addChunk(key: number, chunk: Uint8Array): void {
        const body = this.bodies.get(key);
        if (!body) {
            return;
        }
        body.content.append(chunk);
        body.lastReceivedAtMs = this.options.clock.monotonicMs();
        this.queue = transferQueue.receive(this.queue, key, chunk.length);
        if (body.content.length >= body.expectedBytes) {
            body.finish(body.content.view());
            return;
        }
        this.sendCredits();
    }

    private sendCredits(): void {
        const { credits, state } = transferQueue.advance(this.queue);
        this.queue = state;
        for (const { bytes, key } of credits) {
            const body = this.bodies.get(key);
            if (body) {
                body.lastReceivedAtMs = Math.max(body.lastReceivedAtMs, this.options.clock.monotonicMs());
                body.sendCredit(bytes);
            }
        }
    }

    private checkStalled(key: number): void {
        const body = this.bodies.get(key);
        const transfer = this.queue.transfers.find((candidate) => candidate.key === key);
        const mayStall = transfer === undefined || transfer.inFlightBytes > 0;
        if (body && mayStall && this.options.clock.monotonicMs() - body.lastReceivedAtMs >= STALL_TIMEOUT_MS) {
            body.finish(stalled);
        }
    }
}
