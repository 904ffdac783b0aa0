import { connect, createServer, Server, Socket } from "node:net";
import { Disposable } from "../core/Disposable";
import { SocketAddress } from "../transport/SocketAddress";

/** A connection through the proxy. */
type Pair = {
    readonly client: Socket;
    readonly server: Socket;
    readonly sourceHost: string;
    /** Bytes are swallowed on this connection, for good. */
    silent: boolean;
    /** When the last delayed bytes are due, by direction, so that later ones do not overtake them. */
    readonly dueAtMs: Map<Socket, number>;
};

/** A TCP proxy in front of one listening address that brings about faults. Sources are told apart by their IP numbers. */
export class FaultProxy implements Disposable {
    private readonly server: Server;
    private readonly pairs = new Set<Pair>();
    private target: SocketAddress | undefined;
    private denied: (sourceHost: string) => boolean = () => false;
    private frozen = false;
    private delayMs = 0;
    private holding = false;

    public constructor() {
        this.server = createServer((client) => this.accept(client));
    }

    /** Starts to listen on a free port of the host. */
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

    /** Cuts off sources: their connections break and new ones are refused. */
    public cut(denied: (sourceHost: string) => boolean): void {
        this.denied = denied;
        for (const pair of this.pairs) {
            if (denied(pair.sourceHost)) {
                this.close(pair);
            }
        }
    }

    public heal(): void {
        this.denied = () => false;
        this.frozen = false;
        this.delayMs = 0;
        if (this.holding) {
            this.holding = false;
            this.pairs.forEach(({ client }) => client.resume());
        }
    }

    /** Holds what goes towards the target until it heals, also on new connections; what the target sends still arrives. */
    public holdTowardsTarget(): void {
        this.holding = true;
        this.pairs.forEach(({ client }) => client.pause());
    }

    /** Makes the connections that are open now silent for good; new ones work. */
    public silenceOpen(): void {
        this.pairs.forEach((pair) => {
            pair.silent = true;
        });
    }

    /** Makes all connections, also new ones, silent without closing them: a silent network partition. */
    public freeze(): void {
        this.frozen = true;
        this.silenceOpen();
    }

    /** Holds all bytes of the connections that are open now until they are released. */
    public hold(): void {
        this.pairs.forEach(({ client, server }) => {
            client.pause();
            server.pause();
        });
    }

    public release(): void {
        this.pairs.forEach(({ client, server }) => {
            client.resume();
            server.resume();
        });
    }

    /** Delays all bytes, one way. */
    public delay(delayMs: number): void {
        this.delayMs = delayMs;
    }

    public dispose(): Promise<void> {
        this.pairs.forEach((pair) => this.close(pair));
        return new Promise((resolve) => this.server.close(() => resolve()));
    }

    private accept(client: Socket): void {
        const sourceHost = client.remoteAddress ?? "";
        if (!this.target || this.denied(sourceHost)) {
            client.destroy();
            return;
        }
        const server = connect({ host: this.target.host, port: this.target.port });
        const pair: Pair = { client, server, sourceHost, silent: this.frozen, dueAtMs: new Map() };
        this.pairs.add(pair);
        this.carry(pair, client, server);
        this.carry(pair, server, client);
        if (this.holding) {
            client.pause();
        }
    }

    private carry(pair: Pair, from: Socket, to: Socket): void {
        from.setNoDelay(true);
        from.on("data", (chunk) => this.pass(pair, chunk, to));
        from.on("error", () => this.close(pair));
        from.on("close", () => this.close(pair));
    }

    private pass(pair: Pair, chunk: Buffer, to: Socket): void {
        if (pair.silent) {
            return;
        }
        const nowMs = performance.now();
        const dueAtMs = Math.max(nowMs + this.delayMs, pair.dueAtMs.get(to) ?? 0);
        if (dueAtMs <= nowMs) {
            to.write(chunk);
            return;
        }
        pair.dueAtMs.set(to, dueAtMs);
        setTimeout(() => void to.write(chunk), dueAtMs - nowMs);
    }

    private close(pair: Pair): void {
        // A silent connection stays open for its ends: that is the fault.
        if (!this.pairs.delete(pair)) {
            return;
        }
        pair.client.destroy();
        pair.server.destroy();
    }
}
