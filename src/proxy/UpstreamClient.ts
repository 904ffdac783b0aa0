import { Readable } from "node:stream";
import { errors, Pool } from "undici";
import { Disposable } from "../core/Disposable";
import { AttemptOutcome } from "./AttemptOutcome";
import { proxyHeaders } from "./proxyHeaders";
import { proxyLimits } from "./proxyLimits";

const IDLE_POOL_MS = 60_000;

/** One attempt at a request. */
type UpstreamRequest = {
    /** IP:PORT. */
    readonly address: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer | Readable | undefined;
    /** Aborts at the deadline, when the caller leaves, or when another attempt has won. */
    readonly signal: AbortSignal;
};

/** The answer's head and its body as a stream, or why there is none. */
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

type PooledEndpoint = {
    readonly pool: Pool;
    readonly usedAtMs: number;
};

const neverConnected: ReadonlySet<string> = new Set([
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
    return neverConnected.has(code) ? AttemptOutcome.Unreachable : AttemptOutcome.Broken;
};

const classifyAnswer = (status: number, headers: Readonly<Record<string, unknown>>) => {
    if (headers[proxyHeaders.notRun] !== undefined) {
        return AttemptOutcome.NotRun;
    }
    return status >= 500 ? AttemptOutcome.Failed : AttemptOutcome.Answered;
};

/** Sends requests over pools of kept connections, one pool for each address. */
export class UpstreamClient implements Disposable {
    private readonly pools = new Map<string, PooledEndpoint>();
    private readonly timer: NodeJS.Timeout;

    public constructor(private readonly localHost?: string) {
        this.timer = setInterval(() => this.closeUnused(), IDLE_POOL_MS);
        this.timer.unref();
    }

    /** Makes one attempt. It never tries again by itself. */
    public async send({ address, body, headers, method, path, signal }: UpstreamRequest): Promise<UpstreamResult> {
        try {
            const pool = this.poolOf(address);
            const answer = await pool.request({
                method: method as "GET",
                path,
                headers,
                body,
                signal,
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            const outcome = classifyAnswer(answer.statusCode, answer.headers);
            return { outcome, status: answer.statusCode, headers: answer.headers, body: answer.body };
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
            connect: { timeout: proxyLimits.connectTimeoutMs, localAddress: this.localHost },
            keepAliveTimeout: proxyLimits.maximumIdleMs,
            keepAliveMaxTimeout: proxyLimits.maximumIdleMs,
        });
    }

    private closeUnused(): void {
        const limitMs = performance.now() - IDLE_POOL_MS;
        for (const [address, { pool, usedAtMs }] of this.pools) {
            if (usedAtMs < limitMs) {
                this.pools.delete(address);
                void pool.close();
            }
        }
    }
}
