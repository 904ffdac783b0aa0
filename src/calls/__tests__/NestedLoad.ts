import { sampleConfiguration } from "../../configuration/__tests__/sampleConfiguration";
import { RandomSource } from "../../core/RandomSource";
import { SystemClock } from "../../core/SystemClock";
import { createCrashEvidence } from "../../crashes/__tests__/createCrashEvidence";
import { slotOutcome } from "../../metrics/slotOutcome";
import { CallerAttempts } from "../CallerAttempts";
import { CallRequest } from "../CallRequest";
import { CallResult } from "../CallResult";
import { RoutableBackend } from "../RoutableBackend";
import { createCallHost } from "./createCallHost";
import { logNormal } from "./logNormal";
import { sampleRequest } from "./sampleRequest";

/** Requests of one kind: those of callers, or those that backend servers make while they run others. */
type Kind = {
    readonly name: string;
    readonly service: string;
    readonly priority: number;
    readonly workMs: number;
    readonly targetMs: number;
    readonly deadlineMs: number;
    /** Requests of callers a second; 0 for nested calls. */
    readonly perSecond: number;
    /** The nested calls that a request makes one after the other, each with this probability. */
    readonly calls?: { readonly kind: string; readonly times: number; readonly share: number; };
    /** True if a request makes all of these calls with that probability, and otherwise none. */
    readonly callsAllOrNone?: boolean;
    /** Resends of a caller after a refusal or a failure. */
    readonly resends: number;
};

type LoadOptions = {
    readonly seed: number;
    /** Callers' timeouts differ: the shortest is this share below the longest. 0 by default. */
    readonly timeoutSpread?: number;
    readonly kinds: readonly Kind[];
    readonly slots: number;
    /** The speed of the backend server of each host, by service. */
    readonly speeds: Readonly<Record<string, readonly number[]>>;
    /** How many backend servers of a service are taken away, and when. */
    readonly removals?: readonly { readonly service: string; readonly count: number; readonly atMs: number; }[];
};

type KindResult = { asked: number; inTime: number; late: number; refused: number; failed: number; };

type Host = ReturnType<typeof createCallHost> & {
    readonly backend: RoutableBackend;
    readonly speed: number;
    /** What the host knows about earlier attempts of its callers. */
    readonly attempts: CallerAttempts;
};

const ZONES = 4;
const LINK_MS = 1;
const CLIENT_LINK_MS = 3;

/** Requests that arrive before are not counted. */
const WARM_UP_MS = 3_000;

const answered = (status: number): CallResult => ({
    kind: "answered",
    answer: { status, reason: "", headers: [], body: Buffer.alloc(0) },
});

const pauseMs = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * A load on services of which one calls another while it serves requests, with the nodes' own parts for requests. Time is
 * that of Jest's fake timers.
 */
export class NestedLoad {
    /** What became of the requests of callers and of nested calls, by kind. */
    public readonly results = new Map<string, KindResult>();
    /** How often requests of each kind were sent to a backend server's host, and how many of them started there. */
    public readonly attempts = new Map<string, { sent: number; started: number; }>();
    /** Slot time in ms by service and outcome. */
    public readonly slotMs = new Map<string, number>();
    private readonly random: RandomSource;
    private readonly clock = new SystemClock();
    private readonly hosts: readonly Host[];
    private readonly kinds: ReadonlyMap<string, Kind>;
    private readonly startedMs = this.clock.monotonicMs();
    private present: readonly RoutableBackend[] = [];
    private requestCount = 0;
    private callerCount = 0;

    public constructor(private readonly options: LoadOptions) {
        const { kinds, removals = [], seed, speeds } = options;
        this.random = new RandomSource(seed);
        this.kinds = new Map(kinds.map((kind) => [kind.name, kind]));
        kinds.forEach(({ name }) => {
            this.results.set(name, { asked: 0, inTime: 0, late: 0, refused: 0, failed: 0 });
            this.attempts.set(name, { sent: 0, started: 0 });
        });
        this.hosts = Object.entries(speeds).flatMap(([service, list], offset) =>
            list.map((speed, index) => this.createHost(service, index, offset * 1_000 + index, speed))
        );
        this.present = this.hosts.map(({ backend }) => backend);
        removals.forEach(({ atMs, count, service }) => setTimeout(() => this.remove(service, count), atMs));
    }

    /** Sends everything for some time. Time has to be advanced meanwhile. */
    public async run(durationMs: number): Promise<void> {
        const sending = this.options.kinds.filter(({ perSecond }) => perSecond > 0).map((kind) =>
            this.sendAll(kind, durationMs)
        );
        await Promise.all(sending);
        await pauseMs(3_000);
    }

    /** Share of the requests of these kinds that ended with success, in time or late. */
    public servedShare(...kinds: readonly string[]): number {
        const results = kinds.map((kind) => this.results.get(kind)!);
        const served = results.reduce((sum, { inTime, late }) => sum + inTime + late, 0);
        return served / results.reduce((sum, { asked }) => sum + asked, 0);
    }

    private createHost(service: string, index: number, id: number, speed: number): Host {
        const { slots } = this.options;
        const nodeId = String(id);
        const zone = `zone-${index % ZONES}`;
        const backend = {
            nodeId,
            address: "",
            zone,
            service,
            version: "v1",
            instanceId: `i-${nodeId}`,
            bornMs: 1,
            slots,
            warmAtMs: 0,
        };
        const host: Host = {
            backend,
            speed,
            attempts: new CallerAttempts(),
            ...createCallHost({
                zone,
                clock: this.clock,
                random: this.random,
                evidence: createCrashEvidence({ clock: this.clock }),
                backends: () => this.present,
                send: (to, request, signal) => this.send(host, to, request, signal),
                run: (request, signal) => this.runAt(host, request, signal),
                onRun: (_request, result, slotMs, lateMs) =>
                    this.countSlots(`${service} ${slotOutcome(result, lateMs)}`, slotMs),
            }),
        };
        const { address, bornMs, instanceId, version, warmAtMs } = backend;
        host.receiver.updateInstance({
            id: instanceId,
            service,
            version,
            address,
            slots,
            bornMs,
            sequence: 1,
            drainingSinceMs: undefined,
            warmAtMs,
        });
        return host;
    }

    private countSlots(key: string, slotMs: number): void {
        if (this.elapsedMs >= WARM_UP_MS) {
            this.slotMs.set(key, (this.slotMs.get(key) ?? 0) + slotMs);
        }
    }

    private get elapsedMs(): number {
        return this.clock.monotonicMs() - this.startedMs;
    }

    private remove(service: string, count: number): void {
        const leaving = this.present.filter((backend) => backend.service === service).slice(0, count);
        this.present = this.present.filter((backend) => !leaving.includes(backend));
    }

    /** Sends a request to the node of another host, which reports its load with the result. */
    private async send(from: Host, to: string, request: CallRequest, signal: AbortSignal): Promise<CallResult> {
        const target = this.hosts.find(({ backend }) => backend.nodeId === to)!;
        await pauseMs(from === target ? 0 : LINK_MS);
        if (this.elapsedMs >= WARM_UP_MS) {
            this.attempts.get(request.route)!.sent += 1;
        }
        const result = await target.receiver.receive(from.backend.nodeId, request, signal);
        const load = target.receiver.loadFor(from.backend.nodeId, request.route);
        await pauseMs(from === target ? 0 : LINK_MS);
        if (load) {
            from.views.updateLoad(to, load, this.clock.monotonicMs());
            from.statistics.recordServiceTime(request.route, load.routeServiceMs ?? load.serviceMs);
            if (load.isNested !== undefined) {
                from.nestedCalls.learn(request.route, load.isNested);
            }
        }
        return result;
    }

    /** Runs a request with its nested calls; it fails if one of them does. */
    private async runAt(host: Host, { remainingMs, route }: CallRequest, signal: AbortSignal): Promise<CallResult> {
        const { calls, callsAllOrNone, workMs } = this.kinds.get(route)!;
        const deadlineMs = this.clock.monotonicMs() + remainingMs;
        await pauseMs(logNormal(this.random, workMs) / host.speed);
        if (this.elapsedMs >= WARM_UP_MS) {
            this.attempts.get(route)!.started += 1;
        }
        const makesCalls = !calls || !callsAllOrNone || this.random.fraction() < calls.share;
        for (let call = 0; calls && makesCalls && call < calls.times; call += 1) {
            if (!callsAllOrNone && this.random.fraction() >= calls.share) {
                continue;
            }
            const kind = this.kinds.get(calls.kind)!;
            const leftMs = deadlineMs - this.clock.monotonicMs();
            const calledMs = this.clock.monotonicMs();
            const result = await this.dispatch(host, kind, Math.min(kind.deadlineMs, leftMs), kind.targetMs, signal);
            if (this.elapsedMs >= WARM_UP_MS) {
                this.count(kind, result, this.clock.monotonicMs() - calledMs);
            }
            if (result.kind !== "answered" || result.answer.status !== 200) {
                return answered(500);
            }
        }
        return signal.aborted ? { kind: "unknown", reason: "cancelled" } : answered(200);
    }

    private async sendAll(kind: Kind, durationMs: number): Promise<void> {
        while (this.elapsedMs < durationMs) {
            await pauseMs((-Math.log(1 - this.random.fraction()) * 1_000) / kind.perSecond);
            void this.call(kind);
        }
    }

    /** Sends a caller's request and, as callers do, again after a refusal or a failure as long as there is time. */
    private async call(kind: Kind): Promise<void> {
        const firstMs = this.clock.monotonicMs();
        const isCounted = this.elapsedMs >= WARM_UP_MS;
        const host = this.random.pick(this.hosts);
        const { timeoutSpread = 0 } = this.options;
        const shortening = timeoutSpread > 0 ? Math.round(kind.deadlineMs * timeoutSpread * this.random.fraction()) : 0;
        const timeoutMs = kind.deadlineMs - shortening;
        this.callerCount += 1;
        const content = { method: "GET", host: kind.service, target: `/${this.callerCount}` };
        let result: CallResult | undefined;
        for (let resend = 0; resend <= kind.resends; resend += 1) {
            const elapsedMs = this.clock.monotonicMs() - firstMs;
            const leftMs = timeoutMs - elapsedMs;
            if (leftMs < kind.workMs) {
                break;
            }
            const signal = AbortSignal.timeout(leftMs);
            await pauseMs(CLIENT_LINK_MS);
            const arrivedMs = this.clock.monotonicMs();
            const repeated = { ...content, callerDeadlineMs: arrivedMs + leftMs };
            const firstSentMs = host.attempts.take(repeated, arrivedMs);
            result = await this.dispatch(host, kind, leftMs, kind.targetMs - (arrivedMs - firstSentMs), signal);
            await pauseMs(CLIENT_LINK_MS);
            if (result.kind === "answered" && result.answer.status === 200) {
                break;
            }
            host.attempts.remember(repeated, firstSentMs, this.clock.monotonicMs());
            await pauseMs(Math.min(result.kind === "not-run" ? result.retryAfterMs : 0, leftMs / 3));
        }
        if (isCounted) {
            this.count(kind, result, this.clock.monotonicMs() - firstMs);
        }
    }

    private count(kind: Kind, result: CallResult | undefined, elapsedMs: number): void {
        const counts = this.results.get(kind.name)!;
        counts.asked += 1;
        if (result?.kind !== "answered") {
            counts.refused += 1;
        }
        else if (result.answer.status !== 200) {
            counts.failed += 1;
        }
        else if (elapsedMs > kind.targetMs) {
            counts.late += 1;
        }
        else {
            counts.inTime += 1;
        }
    }

    private dispatch(
        host: Host,
        { name, priority, service, targetMs: targetLatencyMs }: Kind,
        timeoutMs: number,
        targetMs: number,
        signal: AbortSignal,
    ): Promise<CallResult> {
        const nowMs = this.clock.monotonicMs();
        this.requestCount += 1;
        const id = `r-${this.requestCount}`;
        return host.dispatcher.dispatch({
            route: { ...sampleConfiguration(1).routes[0], name, priority, targetLatencyMs, maximumAttempts: 2 },
            service,
            request: sampleRequest(id, {
                service,
                target: `/${id}`,
                route: name,
                priority,
                callerService: host.backend.service,
            }),
            targetAtMs: nowMs + targetMs,
            deadlineMs: nowMs + timeoutMs,
            signal,
        });
    }
}
