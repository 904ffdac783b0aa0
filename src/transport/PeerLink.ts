import { backoffMs } from "../core/backoffMs";
import { Disposable } from "../core/Disposable";
import { RandomSource } from "../core/RandomSource";
import { FramedConnection } from "./FramedConnection";
import { openConnection } from "./openConnection";
import { SocketAddress } from "./SocketAddress";

const RECONNECT_BASE_MS = 50;
const RECONNECT_LIMIT_MS = 2_000;

/** The identity of this process towards the peer, and the callbacks of the link's owner. */
type LinkOptions = {
    readonly identity: string;
    readonly secret: string;
    readonly localHost?: string;
    readonly random: RandomSource;
    /** Interval between heartbeats while the link is idle; `TransportLimits.HeartbeatIntervalMs` by default. */
    readonly heartbeatMs?: number;
    readonly onOpen?: () => void;
    readonly onMessage: (message: unknown) => void;
    readonly onBytes?: (count: number) => void;
    readonly onClose?: () => void;
    /** Called when an attempt to open the connection has failed. */
    readonly onFailure?: () => void;
};

/** Keeps one connection to a peer open and reconnects with jittered back-off. Messages sent while closed are lost. */
export class PeerLink implements Disposable {
    private connection: FramedConnection | undefined;
    private reconnectTimer: NodeJS.Timeout | undefined;
    private attempt = 0;
    private disposed = false;
    private openWaiters: (() => void)[] = [];

    public constructor(public readonly address: SocketAddress, private readonly options: LinkOptions) {
        void this.open();
    }

    public get isOpen(): boolean {
        return this.connection !== undefined;
    }

    public get peerIdentity(): string {
        return this.connection?.peerIdentity ?? "";
    }

    /** Sends a message and returns the number of bytes sent, 0 if the link is not open. */
    public send(message: unknown): number {
        return this.connection?.send(message) ?? 0;
    }

    /** Waits at most `limitMs` until the link is open. Returns whether it is. */
    public waitUntilOpen(limitMs: number): Promise<boolean> {
        if (this.connection || this.disposed) {
            return Promise.resolve(this.isOpen);
        }
        return new Promise((resolve) => {
            const finish = (): void => {
                clearTimeout(timer);
                resolve(this.isOpen);
            };
            const timer = setTimeout(finish, limitMs);
            this.openWaiters.push(finish);
        });
    }

    /** Closes the connection, which is then opened again. */
    public closeConnection(): void {
        this.connection?.close();
    }

    /** Closes the connection and reconnects after the given delay, as requested by an overloaded peer. */
    public reconnectAfter(delayMs: number): void {
        this.schedule(delayMs);
        this.connection?.close();
    }

    public dispose(): void {
        this.disposed = true;
        clearTimeout(this.reconnectTimer);
        this.connection?.close();
    }

    private async open(): Promise<void> {
        const connection = await openConnection(this.address, this.options);
        if (this.disposed) {
            connection?.close();
            return;
        }
        if (!connection) {
            this.options.onFailure?.();
            this.scheduleRetry();
            return;
        }
        this.attempt = 0;
        this.connection = connection;
        const { onBytes, onMessage } = this.options;
        connection.listen({ onMessage, onBytes, onClose: () => this.handleClose(connection) });
        this.options.onOpen?.();
        const waiters = this.openWaiters;
        this.openWaiters = [];
        waiters.forEach((resume) => resume());
    }

    private handleClose(connection: FramedConnection): void {
        if (this.connection !== connection) {
            return;
        }
        this.connection = undefined;
        this.options.onClose?.();
        if (!this.reconnectTimer) {
            this.scheduleRetry();
        }
    }

    private scheduleRetry(): void {
        const fraction = this.options.random.fraction();
        this.schedule(backoffMs(this.attempt, RECONNECT_BASE_MS, RECONNECT_LIMIT_MS, fraction));
    }

    private schedule(delayMs: number): void {
        clearTimeout(this.reconnectTimer);
        if (this.disposed) {
            return;
        }
        this.attempt += 1;
        this.reconnectTimer = setTimeout(() => {
            this.reconnectTimer = undefined;
            void this.open();
        }, delayMs);
    }
}
