import { Readable } from "node:stream";
import { Client, errors, Pool } from "undici";
import { Disposable } from "../core/Disposable";
import { AttemptOutcome } from "./AttemptOutcome";
import { BackendConnections } from "./BackendConnections";
import { proxyHeaders } from "./proxyHeaders";
import { proxyLimits } from "./proxyLimits";

const MAXIMUM_POOL_IDLE_MS = 60_000;

/** One attempt at a request. */
type UpstreamRequest = {
    /** IP:PORT. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | Readable | undefined;
    /** Aborts at the deadline, when the caller disconnects, or when another attempt has succeeded. */
    readonly signal: AbortSignal;
};

/** The response with its body as a stream, or the outcome if there is no response. */
type UpstreamResult =
    | {
        readonly outcome: AttemptOutcome.Answered | AttemptOutcome.Failed | AttemptOutcome.NotRun;
        readonly status: number;
        readonly headers: Record<string, string | string[] | undefined>;
        readonly body: Readable;
    }
    | {
        readonly outcome:
            | AttemptOutcome.Unreachable
            | AttemptOutcome.Broken
            | AttemptOutcome.TimedOut
            | AttemptOutcome.Cancelled;
    };

type PoolEntry<Connections> = {
    readonly pool: Connections;
    readonly usedAtMs: number;
};

/** Error codes of a connection that was never opened: the request did not run. */
const connectFailureCodes: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Greater statuses are not valid; undici rejects smaller ones than 100 itself. */
const MAXIMUM_STATUS = 599;

const classifyError = (error: Error, signal: AbortSignal): AttemptOutcome => {
    if (signal.aborted) {
        const timedOut = (signal.reason as Error | undefined)?.name === "TimeoutError";
        return timedOut ? AttemptOutcome.TimedOut : AttemptOutcome.Cancelled;
    }
    const code = (error as NodeJS.ErrnoException).code ?? "";
    return connectFailureCodes.has(code) ? AttemptOutcome.Unreachable : AttemptOutcome.Broken;
};

const classifyResponse = (status: number, headers: Readonly<Record<string, unknown>>) => {
    if (headers[proxyHeaders.notRun] !== undefined) {
        return AttemptOutcome.NotRun;
    }
    return status >= 500 ? AttemptOutcome.Failed : AttemptOutcome.Answered;
};

/** True if a response states that it is to another request. */
const isOfAnotherRequest = (sent: UpstreamRequest["headers"], received: Readonly<Record<string, unknown>>): boolean => {
    const receivedId = received[proxyHeaders.requestId];
    return receivedId !== undefined && receivedId !== sent[proxyHeaders.requestId];
};

/** HTTP client with keep-alive connections to nodes and to the backend servers of this host. */
export class UpstreamClient implements Disposable {
    private readonly pools = new Map<string, PoolEntry<Pool>>();
    private readonly backends = new Map<string, PoolEntry<BackendConnections>>();
    private readonly timer: NodeJS.Timeout;

    /** `localAddress` is the local IP address that connections are opened from. */
    public constructor(private readonly localAddress?: string) {
        this.timer = setInterval(() => this.closeIdlePools(), MAXIMUM_POOL_IDLE_MS);
        this.timer.unref();
    }

    /** Sends the request to a node once, without retries. */
    public async send(request: UpstreamRequest): Promise<UpstreamResult> {
        return this.exchange(this.poolOf(request.address), request);
    }

    /**
     * Sends the request to a backend server once, without retries. A response that states the id of another request is
     * not used. A connection isn't used again after a refusal: if the backend server sent that once more, it would be
     * taken for the response to the next request.
     */
    public async sendToBackend(request: UpstreamRequest): Promise<UpstreamResult> {
        const connections = this.connectionsOf(request.address);
        const client = connections.acquire();
        const result = await this.exchange(client, request);
        if (!("body" in result)) {
            connections.release(client, false);
            return result;
        }
        if (isOfAnotherRequest(request.headers, result.headers)) {
            connections.release(client, false);
            result.body.on("error", () => undefined).destroy();
            return { outcome: AttemptOutcome.Broken };
        }
        const isKept = result.outcome !== AttemptOutcome.NotRun;
        result.body.once("close", () => connections.release(client, isKept && result.body.readableEnded));
        return result;
    }

    public async dispose(): Promise<void> {
        clearInterval(this.timer);
        await Promise.all([
            ...[...this.pools.values()].map(({ pool }) => pool.destroy()),
            ...[...this.backends.values()].map(({ pool }) => pool.dispose()),
        ]);
        this.pools.clear();
        this.backends.clear();
    }

    private async exchange(
        dispatcher: Client | Pool,
        { body, headers, method, path, signal }: UpstreamRequest,
    ): Promise<UpstreamResult> {
        try {
            const response = await dispatcher.request({
                method: method as "GET",
                path,
                headers,
                body,
                signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            if (response.statusCode > MAXIMUM_STATUS) {
                response.body.on("error", () => undefined).destroy();
                return { outcome: AttemptOutcome.Broken };
            }
            const outcome = classifyResponse(response.statusCode, response.headers);
            return { outcome, status: response.statusCode, headers: response.headers, body: response.body };
        }
        catch (error) {
            if (error instanceof errors.InvalidArgumentError) {
                return { outcome: AttemptOutcome.Unreachable };
            }
            return { outcome: classifyError(error as Error, signal) as AttemptOutcome.Broken };
        }
    }

    private connectionsOf(address: string): BackendConnections {
        const pool = this.backends.get(address)?.pool ?? new BackendConnections(address, this.localAddress);
        this.backends.set(address, { pool, usedAtMs: performance.now() });
        return pool;
    }

    private poolOf(address: string): Pool {
        const pool = this.pools.get(address)?.pool ?? this.openPool(address);
        this.pools.set(address, { pool, usedAtMs: performance.now() });
        return pool;
    }

    private openPool(address: string): Pool {
        return new Pool(`http://${address}`, {
            connections: proxyLimits.connectionsPerEndpoint,
            pipelining: 1,
            connect: { timeout: proxyLimits.connectTimeoutMs, localAddress: this.localAddress },
            keepAliveTimeout: proxyLimits.maximumIdleMs,
            keepAliveMaxTimeout: proxyLimits.maximumIdleMs,
        });
    }

    private closeIdlePools(): void {
        const oldestUseMs = performance.now() - MAXIMUM_POOL_IDLE_MS;
        for (const [address, { pool, usedAtMs }] of this.pools) {
            if (usedAtMs < oldestUseMs) {
                this.pools.delete(address);
                void pool.close();
            }
        }
        for (const [address, { pool, usedAtMs }] of this.backends) {
            if (usedAtMs < oldestUseMs) {
                this.backends.delete(address);
                void pool.retire();
            }
        }
    }
}
