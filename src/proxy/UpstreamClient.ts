import { Readable } from "node:stream";
import { errors, Pool } from "undici";
import { Disposable } from "../core/Disposable";
import { AttemptOutcome } from "./AttemptOutcome";
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

type PoolEntry = {
    readonly pool: Pool;
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

/** HTTP client with one pool of keep-alive connections for each address. */
export class UpstreamClient implements Disposable {
    private readonly pools = new Map<string, PoolEntry>();
    private readonly timer: NodeJS.Timeout;

    /** `localAddress` is the local IP address that connections are opened from. */
    public constructor(private readonly localAddress?: string) {
        this.timer = setInterval(() => this.closeIdlePools(), MAXIMUM_POOL_IDLE_MS);
        this.timer.unref();
    }

    /** Sends the request once, without retries. */
    public async send({ address, body, headers, method, path, signal }: UpstreamRequest): Promise<UpstreamResult> {
        try {
            const pool = this.poolOf(address);
            const response = await pool.request({
                method: method as "GET",
                path,
                headers,
                body,
                signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
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

    public async dispose(): Promise<void> {
        clearInterval(this.timer);
        await Promise.all([...this.pools.values()].map(({ pool }) => pool.destroy()));
        this.pools.clear();
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
    }
}
