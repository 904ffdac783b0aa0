import { connect, createServer, Server, Socket } from "node:net";
import { Disposable } from "../core/Disposable";
import { SocketAddress } from "../transport/SocketAddress";

/** A client's connection and the proxy's own connection to the target. */
type ProxiedConnection = {
    readonly client: Socket;
    readonly server: Socket;
    readonly sourceHost: string;
    /** Bytes are read and dropped in both directions, but the connection stays open. It is never restored. */
    isSilent: boolean;
    /** When the latest delayed bytes are written, by receiving socket. Later bytes must not overtake them. */
    readonly writeAtMs: Map<Socket, number>;
};

/** A TCP proxy that injects network faults in front of one address. It identifies sources by their IP address. */
export class FaultProxy implements Disposable {
    private readonly server: Server;
    private readonly connections = new Set<ProxiedConnection>();
    private target: SocketAddress | undefined;
    private isBlocked: (sourceHost: string) => boolean = () => false;
    private isSilent = false;
    private delayMs = 0;
    private isPausedTowardsTarget = false;

    public constructor() {
        this.server = createServer((client) => this.accept(client));
    }

    /** Listens on a free port of the given IP address. */
    public listen(host: string): Promise<SocketAddress> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(0, host, () => {
                const bound = this.server.address();
                resolve({ host, port: typeof bound === "object" && bound ? bound.port : 0 });
            });
        });
    }

    public forwardTo(target: SocketAddress): void {
        this.target = target;
    }

    /** Closes the connections of the matching sources and refuses new ones. Replaces any earlier set of sources. */
    public blockSources(isBlocked: (sourceHost: string) => boolean): void {
        this.isBlocked = isBlocked;
        for (const connection of this.connections) {
            if (isBlocked(connection.sourceHost)) {
                this.close(connection);
            }
        }
    }

    /**
     * Ends all faults, but connections that were made silent stay silent, and those that `pauseOpenConnections` paused
     * stay paused until `resumeOpenConnections`.
     */
    public endFaults(): void {
        this.isBlocked = () => false;
        this.isSilent = false;
        this.delayMs = 0;
        if (this.isPausedTowardsTarget) {
            this.isPausedTowardsTarget = false;
            this.connections.forEach(({ client }) => client.resume());
        }
    }

    /** Holds bytes for the target on open and new connections until faults are ended. Bytes from the target pass. */
    public pauseTowardsTarget(): void {
        this.isPausedTowardsTarget = true;
        this.connections.forEach(({ client }) => client.pause());
    }

    /** Permanently drops all bytes of the connections that are open now. New connections work. */
    public silenceOpenConnections(): void {
        this.connections.forEach((connection) => {
            connection.isSilent = true;
        });
    }

    /** Drops all bytes of open and new connections without closing them, as a silent network partition does. */
    public silenceAllConnections(): void {
        this.isSilent = true;
        this.silenceOpenConnections();
    }

    /** Holds all bytes of the connections that are open now until they are resumed. */
    public pauseOpenConnections(): void {
        this.connections.forEach(({ client, server }) => {
            client.pause();
            server.pause();
        });
    }

    public resumeOpenConnections(): void {
        this.connections.forEach(({ client, server }) => {
            client.resume();
            server.resume();
        });
    }

    /** Delays all bytes by this much in each direction. */
    public delay(delayMs: number): void {
        this.delayMs = delayMs;
    }

    public dispose(): Promise<void> {
        this.connections.forEach((connection) => this.close(connection));
        return new Promise((resolve) => this.server.close(() => resolve()));
    }

    private accept(client: Socket): void {
        const sourceHost = client.remoteAddress ?? "";
        if (!this.target || this.isBlocked(sourceHost)) {
            client.destroy();
            return;
        }
        const server = connect({ host: this.target.host, port: this.target.port });
        const connection: ProxiedConnection = {
            client,
            server,
            sourceHost,
            isSilent: this.isSilent,
            writeAtMs: new Map(),
        };
        this.connections.add(connection);
        this.forwardFrom(connection, client, server);
        this.forwardFrom(connection, server, client);
        if (this.isPausedTowardsTarget) {
            client.pause();
        }
    }

    private forwardFrom(connection: ProxiedConnection, from: Socket, to: Socket): void {
        from.setNoDelay(true);
        from.on("data", (chunk) => this.forwardChunk(connection, chunk, to));
        from.on("error", () => this.close(connection));
        from.on("close", () => this.close(connection));
    }

    private forwardChunk(connection: ProxiedConnection, chunk: Buffer, to: Socket): void {
        if (connection.isSilent) {
            return;
        }
        const nowMs = performance.now();
        const writeAtMs = Math.max(nowMs + this.delayMs, connection.writeAtMs.get(to) ?? 0);
        if (writeAtMs <= nowMs) {
            to.write(chunk);
            return;
        }
        connection.writeAtMs.set(to, writeAtMs);
        setTimeout(() => void to.write(chunk), writeAtMs - nowMs);
    }

    private close(connection: ProxiedConnection): void {
        if (!this.connections.delete(connection)) {
            return;
        }
        connection.client.destroy();
        connection.server.destroy();
    }
}
