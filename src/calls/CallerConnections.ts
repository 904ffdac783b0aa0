import { Socket } from "node:net";
import { Clock } from "../core/Clock";
import { CallerConnection } from "./CallerConnection";

/** Dependencies and settings of the connections. */
type CallerConnectionsOptions = {
    readonly clock: Clock;
    /** When more are open, the one that is idle for the longest is closed. */
    readonly maximum: number;
    /** Called when a connection is closed for that. */
    readonly onClosed: () => void;
};

/** The open connections of callers. */
export class CallerConnections {
    private readonly connections = new Map<Socket, CallerConnection>();
    private draining = false;

    public constructor(private readonly options: CallerConnectionsOptions) {}

    /** Requests that were read and not yet answered. */
    public get activeRequests(): number {
        return [...this.connections.values()].reduce((sum, { activeRequests }) => sum + activeRequests, 0);
    }

    /** Requests that wait until earlier ones of their connection have been answered. */
    public get waitingRequests(): number {
        return [...this.connections.values()].reduce((sum, { waitingRequests }) => sum + waitingRequests, 0);
    }

    /** Ends all connections, also later ones, after the responses to the requests that have been read. */
    public drain(): void {
        this.draining = true;
        this.connections.forEach((connection) => connection.drain());
    }

    /** Adds a new connection, if need be in place of an idle one, or of this one if all others are in use. */
    public accept(socket: Socket): void {
        this.of(socket);
        if (this.connections.size > this.options.maximum) {
            this.options.onClosed();
            this.longestIdle(socket).destroy();
        }
    }

    public of(socket: Socket): CallerConnection {
        const existing = this.connections.get(socket);
        if (existing) {
            return existing;
        }
        const connection = new CallerConnection(socket, this.options.clock);
        if (this.draining) {
            connection.drain();
        }
        this.connections.set(socket, connection);
        socket.once("close", () => this.connections.delete(socket));
        return connection;
    }

    private longestIdle(newest: Socket): Socket {
        const idle = [...this.connections].filter(([socket, { activeRequests }]) =>
            activeRequests === 0 && socket !== newest && !socket.destroyed
        );
        const [longest] = idle.sort(([, one], [, other]) => one.lastUsedMs - other.lastUsedMs);
        return longest?.[0] ?? newest;
    }
}
