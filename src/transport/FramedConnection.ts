import { Socket } from "node:net";
import { Disposable } from "../core/Disposable";
import { createSessionCodec } from "./createSessionCodec";
import { encodeFrame } from "./encodeFrame";
import { FrameDecoder } from "./FrameDecoder";
import { TransportLimits } from "./TransportLimits";

const EMPTY_FRAME = Buffer.alloc(4);

/** What the owner of a connection is told. */
type ConnectionEvents = {
    readonly onMessage: (message: unknown) => void;
    readonly onBytes?: (count: number) => void;
    readonly onClose: () => void;
};

/** A socket that carries CBOR frames. It closes on a bad frame, a slow reader or silence. */
export class FramedConnection implements Disposable {
    public peerIdentity = "";
    private readonly encoder = createSessionCodec();
    private readonly decoder = new FrameDecoder(TransportLimits.MaximumFrameBytes);
    private receivedBytes = 0;
    private events: ConnectionEvents | undefined;
    private early: unknown[] = [];
    private closed = false;
    private sentLately = false;
    private heartbeat: NodeJS.Timeout | undefined;

    public constructor(private readonly socket: Socket) {
        socket.setNoDelay(true);
        socket.on("data", (chunk) => this.receive(chunk));
        socket.on("error", () => this.close());
        socket.on("close", () => this.close());
    }

    public get isOpen(): boolean {
        return !this.closed;
    }

    /** Starts to deliver messages. Messages that came before are delivered first. */
    public listen(events: ConnectionEvents): void {
        this.events = events;
        const early = this.early;
        this.early = [];
        early.forEach(events.onMessage);
        if (this.closed) {
            events.onClose();
        }
    }

    /** Stops to deliver messages; they wait for the next `listen`. */
    public pause(): void {
        this.events = undefined;
    }

    /**
     * Sends empty frames while idle and closes the connection when the peer falls silent. Both ends keep the same pace.
     * @param intervalMs between two empty frames
     */
    public keepAlive(intervalMs: number): void {
        let lastReceivedBytes = this.receivedBytes;
        let silentIntervals = 0;
        this.heartbeat = setInterval(() => {
            silentIntervals = this.receivedBytes === lastReceivedBytes ? silentIntervals + 1 : 0;
            lastReceivedBytes = this.receivedBytes;
            if (silentIntervals >= TransportLimits.SilentIntervals) {
                this.close();
                return;
            }
            if (!this.sentLately) {
                this.socket.write(EMPTY_FRAME);
            }
            this.sentLately = false;
        }, intervalMs);
    }

    /** Sends a message. Returns the bytes sent, 0 if the connection is closed. */
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
        this.sentLately = true;
        return frame.length;
    }

    public close(): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        clearInterval(this.heartbeat);
        this.socket.destroy();
        this.events?.onClose();
    }

    public dispose(): void {
        this.close();
    }

    private receive(chunk: Buffer): void {
        this.receivedBytes += chunk.length;
        this.events?.onBytes?.(chunk.length);
        try {
            this.decoder.push(chunk).forEach((message) => this.deliver(message));
        }
        catch {
            this.close();
        }
    }

    private deliver(message: unknown): void {
        if (!this.events) {
            this.early.push(message);
            return;
        }
        this.events.onMessage(message);
    }
}
