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
const RATE_WINDOW_MS = 1_000;

/** How a stand-in backend server is set up. */
type BackendOptions = {
    readonly service: string;
    readonly backendVersion: string;
    readonly slots: number;
    readonly listen: SocketAddress;
    /** IP:PORT of the host side of its node; undefined to announce nothing. */
    readonly hostAddress: string | undefined;
    readonly latencyMs: number;
    /** Extra latency that fades over `warmUpMs` after the start. */
    readonly coldLatencyMs: number;
    readonly warmUpMs: number;
    /** Health and load endpoints show what was true this long ago. */
    readonly healthLagMs: number;
    readonly fault: FaultPlan;
    /** Load is shed once this multiple of the slots is in progress or waiting for a slot. */
    readonly shedFactor: number;
    readonly seed: number;
};

/** What the backend server has counted. */
type BackendStatistics = {
    readonly requests: number;
    readonly cancelled: number;
    readonly shed: number;
    /** Requests by key that ran more than once although they carry an idempotency key. */
    readonly repeated: readonly string[];
    readonly ranKeys: number;
    /** When the first request was hit by the fault and when the last request came, on the monotonic clock. */
    readonly firstFaultMs: number | undefined;
    readonly lastRequestMs: number | undefined;
};

/** A small backend server for the bench and the tests: it drains, starts cold, sheds load and honours cancellation. */
export class StandInBackend implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly server: Server;
    private readonly random: RandomSource;
    private readonly startedMs = performance.now();
    private readonly runsByKey = new Map<string, number>();
    private address: SocketAddress | undefined;
    private state = EndpointState.Ready;
    private fault: FaultPlan;
    private faultSetMs = performance.now();
    private active = 0;
    private freeSlots: number;
    private readonly waiting: (() => void)[] = [];
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
        this.server = createServer((incoming, response) => void this.serve(incoming, response));
    }

    public get statistics(): BackendStatistics {
        const repeated = [...this.runsByKey].filter(([, runs]) => runs > 1).map(([key]) => key);
        const { cancelled, firstFaultMs, lastRequestMs, requests, shed } = this;
        return { requests, cancelled, shed, repeated, ranKeys: this.runsByKey.size, firstFaultMs, lastRequestMs };
    }

    public get service(): string {
        return this.options.service;
    }

    public get backendVersion(): string {
        return this.options.backendVersion;
    }

    /** IP:PORT once it has started. */
    public get boundAddress(): string {
        return this.address ? `${this.address.host}:${this.address.port}` : "";
    }

    public async start(): Promise<SocketAddress> {
        this.address = await listenHttp(this.server, this.options.listen);
        this.resources.every(ANNOUNCE_INTERVAL_MS, () => void this.announce());
        await this.announce();
        return this.address;
    }

    /** Announces that it leaves, waits until no request is in progress and stops. */
    public async drain(): Promise<void> {
        this.state = EndpointState.Draining;
        await this.announce();
    }

    public async dispose(): Promise<void> {
        await this.resources.dispose();
        this.server.closeAllConnections();
        this.server.close();
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
            // The node may be restarting; the next announcement follows soon.
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
            await this.work(incoming, response);
        }
        finally {
            this.active -= 1;
        }
    }

    private async work(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        this.requests += 1;
        this.lastRequestMs = performance.now();
        this.arrivalsMs.push(this.lastRequestMs);
        const key = incoming.headers["idempotency-key"];
        if (typeof key === "string" && incoming.method === "POST") {
            this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
        }
        const hit = this.isHit(incoming.url ?? "/");
        if (hit) {
            this.firstFaultMs ??= performance.now();
        }
        const extraMs = hit && this.fault.kind === "slow" ? this.fault.delayMs : 0;
        await this.takeSlot();
        const whole = !response.destroyed && await this.delay(response, this.baseLatencyMs() + extraMs);
        this.giveSlotBack();
        if (!whole) {
            this.cancelled += 1;
            return;
        }
        const failed = hit && this.fault.kind === "fail";
        response.writeHead(failed ? 500 : 200, {
            "content-type": "application/json",
            "x-backend-version": this.options.backendVersion,
        });
        response.end(JSON.stringify({ path: incoming.url, requestId: incoming.headers[proxyHeaders.requestId] }));
    }

    /** Requests beyond the slots wait in the order of arrival. */
    private takeSlot(): Promise<void> {
        if (this.freeSlots > 0) {
            this.freeSlots -= 1;
            return Promise.resolve();
        }
        return new Promise((resolve) => this.waiting.push(resolve));
    }

    private giveSlotBack(): void {
        const next = this.waiting.shift();
        if (next) {
            next();
            return;
        }
        this.freeSlots += 1;
    }

    /** Requests that came within the last second. */
    private recentRequests(): number {
        const sinceMs = performance.now() - RATE_WINDOW_MS;
        while (this.arrivalsMs.length > 0 && this.arrivalsMs[0] < sinceMs) {
            this.arrivalsMs.shift();
        }
        return this.arrivalsMs.length;
    }

    private baseLatencyMs(): number {
        const { coldLatencyMs, latencyMs, warmUpMs } = this.options;
        const ageMs = performance.now() - this.startedMs;
        const cold = warmUpMs > 0 ? Math.max(0, 1 - ageMs / warmUpMs) * coldLatencyMs : 0;
        return latencyMs * (0.5 + this.random.fraction()) + cold;
    }

    private isHit(path: string): boolean {
        const { abovePerSecond, afterMs, kind, pathPrefix, share } = this.fault;
        const due = performance.now() - this.faultSetMs >= afterMs;
        const loaded = this.recentRequests() > abovePerSecond;
        return kind !== "none" && due && loaded && path.startsWith(pathPrefix) && this.random.fraction() < share;
    }

    /** Waits; resolves to false at once if the request is cancelled. */
    private delay(response: ServerResponse, delayMs: number): Promise<boolean> {
        return new Promise((resolve) => {
            const timer = setTimeout(() => resolve(true), delayMs);
            response.once("close", () => {
                clearTimeout(timer);
                resolve(response.writableFinished);
            });
        });
    }

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
        const body = incoming.url === "/_health" ? await this.lagged(healthy) : this.statistics;
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
    }

    /** Health and load as they were: the answer is delayed, as those endpoints lag. */
    private lagged<Value>(value: Value): Promise<Value> {
        return new Promise((resolve) => setTimeout(() => resolve(value), this.options.healthLagMs));
    }
}
