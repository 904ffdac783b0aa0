import { backoffMs } from "../core/backoffMs";
import { Disposable } from "../core/Disposable";
import { RandomSource } from "../core/RandomSource";
import { FramedConnection } from "./FramedConnection";
import { openConnection } from "./openConnection";
import { SocketAddress } from "./SocketAddress";

const RECONNECT_BASE_MS = 50;
const RECONNECT_LIMIT_MS = 2_000;

/** How a link names itself and what it tells its owner. */
type LinkOptions = {
    readonly identity: string;
    readonly secret: string;
    readonly localHost?: string;
    readonly random: RandomSource;
    /** How often the idle link shows that it is alive; `TransportLimits.HeartbeatIntervalMs` if not given. */
    readonly heartbeatMs?: number;
    readonly onOpen?: () => void;
    readonly onMessage: (message: unknown) => void;
    readonly onBytes?: (count: number) => void;
    readonly onClose?: () => void;
    /** An attempt to open the connection has failed. */
    readonly onFailure?: () => void;
};

/** Keeps one connection to a peer open and reconnects with jittered back-off. Messages sent while closed are lost. */
export class PeerLink implements Disposable {
    private connection: FramedConnection | undefined;
    private timer: NodeJS.Timeout | undefined;
    private attempt = 0;
    private disposed = false;
    private opening: (() => void)[] = [];

    public constructor(public readonly address: SocketAddress, private readonly options: LinkOptions) {
        void this.open();
    }

    public get isOpen(): boolean {
        return this.connection !== undefined;
    }

    public get peerIdentity(): string {
        return this.connection?.peerIdentity ?? "";
    }

    /** Sends a message and returns its bytes, 0 if the link is not open. */
    public send(message: unknown): number {
        return this.connection?.send(message) ?? 0;
    }

    /** Waits until the link is open, at most the given time. Returns whether it is. */
    public untilOpen(limitMs: number): Promise<boolean> {
        if (this.connection || this.disposed) {
            return Promise.resolve(this.isOpen);
        }
        return new Promise((resolve) => {
            const finish = (): void => {
                clearTimeout(timer);
                resolve(this.isOpen);
            };
            const timer = setTimeout(finish, limitMs);
            this.opening.push(finish);
        });
    }

    /** Holds the next attempt back by the time that the peer suggested. */
    public holdBack(delayMs: number): void {
        this.schedule(delayMs);
        this.connection?.close();
    }

    public dispose(): void {
        this.disposed = true;
        clearTimeout(this.timer);
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
        connection.listen({ onMessage, onBytes, onClose: () => this.closed(connection) });
        this.options.onOpen?.();
        const waiting = this.opening;
        this.opening = [];
        waiting.forEach((resume) => resume());
    }

    private closed(connection: FramedConnection): void {
        if (this.connection !== connection) {
            return;
        }
        this.connection = undefined;
        this.options.onClose?.();
        if (!this.timer) {
            this.scheduleRetry();
        }
    }

    private scheduleRetry(): void {
        const fraction = this.options.random.fraction();
        this.schedule(backoffMs(this.attempt, RECONNECT_BASE_MS, RECONNECT_LIMIT_MS, fraction));
    }

    private schedule(delayMs: number): void {
        clearTimeout(this.timer);
        if (this.disposed) {
            return;
        }
        this.attempt += 1;
        this.timer = setTimeout(() => {
            this.timer = undefined;
            void this.open();
        }, delayMs);
    }
}
