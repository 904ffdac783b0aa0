import { Socket } from "node:net";
import { Disposable } from "../core/Disposable";
import { createSessionCodec } from "./createSessionCodec";
import { encodeFrame } from "./encodeFrame";
import { FrameDecoder } from "./FrameDecoder";
import { frameMemory } from "./frameMemory";
import { TransportLimits } from "./TransportLimits";

/** A heartbeat: a frame of length 0. */
const EMPTY_FRAME = Buffer.alloc(4);

/** The callbacks of the owner of a connection. */
type ConnectionEvents = {
    readonly onMessage: (message: unknown) => void;
    readonly onBytes?: (count: number) => void;
    readonly onClose: () => void;
};

/**
 * A socket that carries CBOR frames. It closes when a frame is invalid, the peer reads too slowly or nothing arrives
 * from the peer for several heartbeat intervals.
 */
export class FramedConnection implements Disposable {
    public peerIdentity = "";
    private readonly encoder = createSessionCodec();
    private readonly decoder: FrameDecoder;
    private readonly holding = frameMemory.open(() => this.close());
    private readonly unsent = frameMemory.open(() => this.close());
    private receivedBytes = 0;
    private events: ConnectionEvents | undefined;
    private undelivered: unknown[] = [];
    private closed = false;
    private sentSinceLastHeartbeat = false;
    private heartbeat: NodeJS.Timeout | undefined;

    /** @param maximumFrameBytes limit of the frames that the peer may send */
    public constructor(private readonly socket: Socket, maximumFrameBytes: number) {
        this.decoder = new FrameDecoder(maximumFrameBytes);
        socket.setNoDelay(true);
        socket.on("data", (chunk) => this.receive(chunk));
        socket.on("drain", () => this.countUnsent());
        socket.on("error", () => this.close());
        socket.on("close", () => this.close());
    }

    /** IP address of the peer's host; empty once the socket is closed. */
    public get remoteHost(): string {
        return this.socket.remoteAddress ?? "";
    }

    public get isOpen(): boolean {
        return !this.closed;
    }

    /** Allows frames of any valid size: the peer has authenticated. */
    public allowLargeFrames(): void {
        this.decoder.maximumFrameBytes = TransportLimits.MaximumFrameBytes;
    }

    /** Starts to deliver messages. Messages that were received before are delivered first. */
    public listen(events: ConnectionEvents): void {
        this.events = events;
        const undelivered = this.undelivered;
        this.undelivered = [];
        try {
            undelivered.forEach(events.onMessage);
        }
        catch {
            this.close();
        }
        if (this.closed) {
            events.onClose();
        }
    }

    /** Stops delivering messages; those received are kept for the next `listen`. */
    public pause(): void {
        this.events = undefined;
    }

    /**
     * Sends heartbeats while the connection is idle, and closes it when nothing was received from the peer for
     * `TransportLimits.MissedHeartbeatsUntilClose` intervals. Both ends must use the same interval.
     * @param intervalMs time between two heartbeats
     */
    public startHeartbeats(intervalMs: number): void {
        let lastReceivedBytes = this.receivedBytes;
        let missedHeartbeats = 0;
        this.heartbeat = setInterval(() => {
            missedHeartbeats = this.receivedBytes === lastReceivedBytes ? missedHeartbeats + 1 : 0;
            lastReceivedBytes = this.receivedBytes;
            if (missedHeartbeats >= TransportLimits.MissedHeartbeatsUntilClose) {
                this.close();
                return;
            }
            if (!this.sentSinceLastHeartbeat) {
                this.socket.write(EMPTY_FRAME);
            }
            this.sentSinceLastHeartbeat = false;
        }, intervalMs);
    }

    /** Sends a message. Returns the number of bytes sent, 0 if the connection is closed or the reader is too slow. */
    public send(message: unknown): number {
        if (this.closed) {
            return 0;
        }
        if (this.socket.writableLength > TransportLimits.MaximumPendingBytes) {
            this.close();
            return 0;
        }
        const frame = encodeFrame(this.encoder, message);
        this.socket.write(frame);
        this.countUnsent();
        this.sentSinceLastHeartbeat = true;
        return this.closed ? 0 : frame.length;
    }

    public close(): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        clearInterval(this.heartbeat);
        this.holding.resize(0);
        this.unsent.resize(0);
        this.socket.destroy();
        this.events?.onClose();
    }

    public dispose(): void {
        this.close();
    }

    /** Counts what the peer has not read, but for the little that waits for the next turn of the event loop. */
    private countUnsent(): void {
        const { writableLength } = this.socket;
        this.unsent.resize(
            !this.closed && writableLength >= TransportLimits.MinimumCountedFrameBytes ? writableLength : 0,
        );
    }

    private receive(chunk: Buffer): void {
        this.receivedBytes += chunk.length;
        this.events?.onBytes?.(chunk.length);
        try {
            this.decoder.push(chunk).forEach((message) => this.deliver(message));
            const { heldBytes } = this.decoder;
            this.holding.resize(!this.closed && heldBytes >= TransportLimits.MinimumCountedFrameBytes ? heldBytes : 0);
        }
        catch {
            this.close();
        }
    }

    private deliver(message: unknown): void {
        if (!this.events) {
            this.undelivered.push(message);
            return;
        }
        this.events.onMessage(message);
    }
}
