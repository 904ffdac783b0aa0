import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { request } from "undici";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { RandomSource } from "../core/RandomSource";
import { EndpointState } from "../membership/EndpointState";
import { proxyHeaders } from "../proxy/proxyHeaders";
import { listenHttp } from "../transport/listenHttp";
import { SocketAddress } from "../transport/SocketAddress";
import { FaultPlan } from "./FaultPlan";

const ANNOUNCE_INTERVAL_MS = 1_000;
/** Window in which requests are counted for `FaultPlan.abovePerSecond`. */
const RATE_WINDOW_MS = 1_000;

/** Time until a backend server that crashed listens again. Below the lease of an announcement, so that it stays known. */
const RESTART_MS = 1_000;

/** The configuration of a stand-in backend server. */
type BackendOptions = {
    readonly service: string;
    readonly backendVersion: string;
    /** Requests processed at the same time. */
    readonly slots: number;
    readonly listen: SocketAddress;
    /** IP:PORT of the node's host address, which takes announcements. Nothing is announced if undefined. */
    readonly hostAddress: string | undefined;
    /** Mean latency. Each request takes 0.5 to 1.5 times as long. */
    readonly latencyMs: number;
    /** Additional latency at the start. Falls linearly to zero over `warmUpMs`. */
    readonly coldLatencyMs: number;
    readonly warmUpMs: number;
    /** Age of the state that the health endpoint returns. */
    readonly healthLagMs: number;
    readonly fault: FaultPlan;
    /** Requests are refused while this multiple of the slots is in progress or waiting for a slot. */
    readonly shedFactor: number;
    readonly seed: number;
};

/** The counters of a backend server. */
type BackendStatistics = {
    /** Requests that were not shed. */
    readonly requests: number;
    /** Requests whose connection closed before the response. */
    readonly cancelled: number;
    readonly shed: number;
    /** Idempotency keys of POST requests that ran more than once. */
    readonly repeated: readonly string[];
    /** Number of different idempotency keys that ran. */
    readonly ranKeys: number;
    /** Monotonic times of the first request that the fault affected and of the last request. */
    readonly firstFaultMs: number | undefined;
    readonly lastRequestMs: number | undefined;
    /** Monotonic times at which requests that crash it began to run. */
    readonly crashingRunsMs: readonly number[];
};

/**
 * A backend server for the bench and the tests. It announces itself, drains, is slow after its start, sheds load, stops
 * work on cancelled requests and injects faults. Paths that start with `/_` control it.
 */
export class StandInBackend implements Disposable {
    private readonly resources = new DisposableStore();
    private server: Server;
    private readonly crashingRunsMs: number[] = [];
    private readonly random: RandomSource;
    private readonly startedMs = performance.now();
    private restartTimer: NodeJS.Timeout | undefined;
    private readonly runsByKey = new Map<string, number>();
    private address: SocketAddress | undefined;
    private state = EndpointState.Ready;
    private fault: FaultPlan;
    private faultSetMs = performance.now();
    private active = 0;
    private freeSlots: number;
    private readonly slotWaiters: (() => void)[] = [];
    private readonly arrivalsMs: number[] = [];
    private requests = 0;
    private cancelled = 0;
    private shed = 0;
    private firstFaultMs: number | undefined;
    private lastRequestMs: number | undefined;

    public constructor(private readonly options: BackendOptions) {
        this.random = new RandomSource(options.seed);
        this.fault = options.fault;
        this.freeSlots = options.slots;
        this.server = this.createServer();
        this.resources.add({ dispose: () => clearTimeout(this.restartTimer) });
    }

    public get statistics(): BackendStatistics {
        const repeated = [...this.runsByKey].filter(([, runs]) => runs > 1).map(([key]) => key);
        const { cancelled, crashingRunsMs, firstFaultMs, lastRequestMs, requests, shed } = this;
        const ranKeys = this.runsByKey.size;
        return { requests, cancelled, shed, repeated, ranKeys, firstFaultMs, lastRequestMs, crashingRunsMs };
    }

    public get service(): string {
        return this.options.service;
    }

    public get backendVersion(): string {
        return this.options.backendVersion;
    }

    /** IP:PORT once the server listens, empty before. */
    public get boundAddress(): string {
        return this.address ? `${this.address.host}:${this.address.port}` : "";
    }

    public async start(): Promise<SocketAddress> {
        this.address = await listenHttp(this.server, this.options.listen);
        this.resources.every(ANNOUNCE_INTERVAL_MS, () => void this.announce());
        await this.announce();
        return this.address;
    }

    /** Announces that the server is draining. It still answers requests; `dispose` stops it. */
    public async drain(): Promise<void> {
        this.state = EndpointState.Draining;
        await this.announce();
    }

    public async dispose(): Promise<void> {
        await this.resources.dispose();
        this.server.closeAllConnections();
        this.server.close();
    }

    private createServer(): Server {
        return createServer((incoming, response) => void this.serve(incoming, response));
    }

    /** Ends the server with all requests that it runs. Another one listens at its address after a while. */
    private crash(): void {
        const crashed = this.server;
        crashed.close();
        crashed.closeAllConnections();
        this.restartTimer = setTimeout(() => {
            this.server = this.createServer();
            if (this.address) {
                void listenHttp(this.server, this.address);
            }
        }, RESTART_MS);
    }

    private async announce(): Promise<void> {
        const { backendVersion, hostAddress, service, slots } = this.options;
        if (!hostAddress || !this.address) {
            return;
        }
        const { host, port } = this.address;
        const body = JSON.stringify({ service, backendVersion, slots, state: this.state, address: `${host}:${port}` });
        try {
            const answer = await request(`http://${hostAddress}/v1/backends`, { method: "POST", body });
            await answer.body.dump();
        }
        catch {
            // The node may be restarting. The next announcement follows within a second.
        }
    }

    private async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        if (incoming.url?.startsWith("/_")) {
            await this.serveControl(incoming, response);
            return;
        }
        if (this.active >= this.options.slots * this.options.shedFactor) {
            this.shed += 1;
            response.writeHead(503, { [proxyHeaders.notRun]: "1" }).end();
            return;
        }
        this.active += 1;
        try {
            await this.processRequest(incoming, response);
        }
        finally {
            this.active -= 1;
        }
    }

    private async processRequest(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        this.requests += 1;
        this.lastRequestMs = performance.now();
        this.arrivalsMs.push(this.lastRequestMs);
        const key = incoming.headers["idempotency-key"];
        if (typeof key === "string" && incoming.method === "POST") {
            this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
        }
        const isAffected = this.isAffectedByFault(incoming.url ?? "/");
        if (isAffected) {
            this.firstFaultMs ??= performance.now();
        }
        const extraMs = isAffected && this.fault.kind === "slow" ? this.fault.delayMs : 0;
        await this.acquireSlot();
        const { server } = this;
        const isCrashing = isAffected && this.fault.kind === "crash";
        if (isCrashing) {
            this.crashingRunsMs.push(performance.now());
        }
        const isCompleted = !response.destroyed && await this.delay(response, this.drawLatencyMs() + extraMs);
        this.releaseSlot();
        if (isCrashing && this.server === server && server.listening) {
            this.crash();
            return;
        }
        if (!isCompleted) {
            this.cancelled += 1;
            return;
        }
        const failed = isAffected && this.fault.kind === "fail";
        response.writeHead(failed ? 500 : 200, {
            "content-type": "application/json",
            "x-backend-version": this.options.backendVersion,
        });
        response.end(JSON.stringify({ path: incoming.url, requestId: incoming.headers[proxyHeaders.requestId] }));
    }

    /** Waits for a free slot. Requests get slots in the order of arrival. */
    private acquireSlot(): Promise<void> {
        if (this.freeSlots > 0) {
            this.freeSlots -= 1;
            return Promise.resolve();
        }
        return new Promise((resolve) => this.slotWaiters.push(resolve));
    }

    private releaseSlot(): void {
        const next = this.slotWaiters.shift();
        if (next) {
            next();
            return;
        }
        this.freeSlots += 1;
    }

    /** Returns the number of requests that arrived within the last second. */
    private recentRequests(): number {
        const windowStartMs = performance.now() - RATE_WINDOW_MS;
        while (this.arrivalsMs.length > 0 && this.arrivalsMs[0] < windowStartMs) {
            this.arrivalsMs.shift();
        }
        return this.arrivalsMs.length;
    }

    /** Returns a random latency around the mean, plus the latency of the warm-up. */
    private drawLatencyMs(): number {
        const { coldLatencyMs, latencyMs, warmUpMs } = this.options;
        const ageMs = performance.now() - this.startedMs;
        const warmUpLatencyMs = warmUpMs > 0 ? Math.max(0, 1 - ageMs / warmUpMs) * coldLatencyMs : 0;
        return latencyMs * (0.5 + this.random.fraction()) + warmUpLatencyMs;
    }

    private isAffectedByFault(path: string): boolean {
        const { abovePerSecond, afterMs, kind, pathPrefix, share } = this.fault;
        const hasBegun = performance.now() - this.faultSetMs >= afterMs;
        const isAboveRate = this.recentRequests() > abovePerSecond;
        return kind !== "none" && hasBegun && isAboveRate && path.startsWith(pathPrefix)
            && this.random.fraction() < share;
    }

    /** Resolves to true after the delay, or to false as soon as the request is cancelled. */
    private delay(response: ServerResponse, delayMs: number): Promise<boolean> {
        return new Promise((resolve) => {
            const timer = setTimeout(() => resolve(true), delayMs);
            response.once("close", () => {
                clearTimeout(timer);
                resolve(response.writableFinished);
            });
        });
    }

    /**
     * Serves the control endpoints: `/_fault` changes the fault plan, `/_drain` announces draining and `/_health`
     * returns the health. All other responses hold the statistics.
     */
    private async serveControl(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        let text = "";
        for await (const chunk of incoming) {
            text += String(chunk);
        }
        if (incoming.url === "/_fault") {
            this.fault = { ...this.fault, ...(JSON.parse(text) as Partial<FaultPlan>) };
            this.faultSetMs = performance.now();
        }
        if (incoming.url === "/_drain") {
            await this.drain();
        }
        const { active } = this;
        const healthy = { healthy: true, active };
        const body = incoming.url === "/_health" ? await this.afterHealthLag(healthy) : this.statistics;
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    /** Returns the value after the health lag, when it is that old. */
    private afterHealthLag<Value>(value: Value): Promise<Value> {
        return new Promise((resolve) => setTimeout(() => resolve(value), this.options.healthLagMs));
    }
}
