import { buildConnector, Client } from "undici";
import { Disposable } from "../core/Disposable";
import { proxyLimits } from "./proxyLimits";

/** Replaces the code of a reset, which undici handles in its own way. */
const RESET_CODE = "CONNECTION_RESET";

type Connector = ReturnType<typeof buildConnector>;

/**
 * Opens connections whose reset is an error in any case. undici takes one after the head for the end of a response
 * without a length, which would be presented as complete.
 */
const createConnector = (localAddress: string | undefined): Connector => {
    const connector = buildConnector({ timeout: proxyLimits.connectTimeoutMs, localAddress });
    return (options, callback) =>
        connector(options, (...result) => {
            const [, socket] = result;
            socket?.on("error", (error: NodeJS.ErrnoException) => {
                error.code = error.code === "ECONNRESET" ? RESET_CODE : error.code;
            });
            callback(...result);
        });
};

/**
 * Keep-alive connections to one backend server, each of which carries one request at a time. A connection can be given
 * up after a request, unlike one of a pool of undici. The number of requests at a time is limited by admission.
 */
export class BackendConnections implements Disposable {
    private readonly idle: Client[] = [];
    private readonly all = new Set<Client>();

    private readonly connector: Connector;

    public constructor(private readonly address: string, localAddress: string | undefined) {
        this.connector = createConnector(localAddress);
    }

    /** Returns a connection that carries no request, the most recently used one first. */
    public acquire(): Client {
        return this.idle.pop() ?? this.open();
    }

    /** Takes back a connection. One that is not kept is closed, with whatever the backend server may still send. */
    public release(client: Client, isKept: boolean): void {
        if (isKept && this.all.has(client)) {
            this.idle.push(client);
            return;
        }
        this.all.delete(client);
        void client.destroy();
    }

    /** Closes the connections that carry no request now, and the others when they are given back. */
    public async retire(): Promise<void> {
        const idle = this.idle.splice(0);
        this.all.clear();
        await Promise.all(idle.map((client) => client.destroy()));
    }

    public async dispose(): Promise<void> {
        const clients = [...this.all];
        this.all.clear();
        this.idle.length = 0;
        await Promise.all(clients.map((client) => client.destroy()));
    }

    private open(): Client {
        const client = new Client(`http://${this.address}`, {
            pipelining: 1,
            connect: this.connector,
            keepAliveTimeout: proxyLimits.maximumIdleMs,
            keepAliveMaxTimeout: proxyLimits.maximumIdleMs,
        });
        this.all.add(client);
        return client;
    }
}
