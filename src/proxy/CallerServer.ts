import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { ServiceClass } from "../catalogue/ServiceClass";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { RandomSource } from "../core/RandomSource";
import { listenHttp } from "../transport/listenHttp";
import { SocketAddress } from "../transport/SocketAddress";
import { AdmissionGate } from "./AdmissionGate";
import { AttemptOutcome } from "./AttemptOutcome";
import { CallContext } from "./CallContext";
import { CallDeadline } from "./CallDeadline";
import { CallRunner } from "./CallRunner";
import { CandidateGuard } from "./CandidateGuard";
import { chooseVersion } from "./chooseVersion";
import { EvidenceRecorder } from "./EvidenceRecorder";
import { forwardHeaders } from "./forwardHeaders";
import { matchRoute } from "./matchRoute";
import { proxyHeaders } from "./proxyHeaders";
import { proxyLimits } from "./proxyLimits";
import { readDeadlineMs } from "./readDeadlineMs";
import { readHeader } from "./readHeader";
import { readRequestBody } from "./readRequestBody";
import { Refusal } from "./Refusal";
import { refusals } from "./refusals";
import { relayAnswer } from "./relayAnswer";
import { RoutingTable } from "./RoutingTable";
import { sendRefusal } from "./sendRefusal";

/** What the caller side is built from. */
type CallerOptions = {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Undefined until the node has reached the configuration that it had before a restart. */
    readonly table: () => RoutingTable | undefined;
    readonly proxyFraction: (service: string, version: number) => number;
    readonly guard: CandidateGuard;
    readonly recorder: EvidenceRecorder;
    readonly runner: CallRunner;
};

type ServiceRouting = RoutingTable extends ReadonlyMap<string, infer Routing> ? Routing : never;

/** What was decided for a request, or the refusal that it gets. */
type Resolution =
    | { readonly refusal: Refusal; }
    | {
        readonly refusal?: undefined;
        readonly routing: ServiceRouting;
        readonly version: NonNullable<ServiceRouting["stable"]>;
        readonly route: CallContext["route"];
    };

const serviceOf = ({ headers }: IncomingMessage): string =>
    readHeader(headers, proxyHeaders.service) ?? (headers.host ?? "").split(":")[0].split(".")[0];

/** Serves callers: finds the route, admits, forwards and answers. It never waits for control. */
export class CallerServer implements Disposable {
    private readonly server: Server;
    private readonly gates = new Map<string, AdmissionGate>();
    private requests = 0;
    private active = 0;
    private stopping = false;

    public constructor(private readonly options: CallerOptions) {
        const limits = { maxHeaderSize: proxyLimits.maximumHeaderBytes };
        this.server = createServer(limits, (request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    public get activeRequests(): number {
        return this.active;
    }

    public get servedRequests(): number {
        return this.requests;
    }

    public listen(address: SocketAddress): Promise<SocketAddress> {
        return listenHttp(this.server, address);
    }

    /** Takes no new connections and closes idle ones; requests in progress go on. */
    public stopAccepting(): void {
        this.stopping = true;
        this.server.close();
        this.server.closeIdleConnections();
    }

    public dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.requests += 1;
        this.active += 1;
        const requestId = readHeader(request.headers, proxyHeaders.requestId) ?? this.newRequestId();
        response.setHeader(proxyHeaders.requestId, requestId);
        if (this.stopping) {
            response.setHeader("connection", "close");
        }
        try {
            await this.handle(request, response, requestId);
        }
        catch {
            response.destroy();
        }
        finally {
            this.active -= 1;
        }
    }

    private newRequestId(): string {
        return `${this.options.nodeId}-${process.pid.toString(36)}-${this.requests.toString(36)}`;
    }

    private async handle(request: IncomingMessage, response: ServerResponse, requestId: string): Promise<void> {
        const resolution = this.resolve(request);
        if (resolution.refusal) {
            sendRefusal(response, resolution.refusal);
            return;
        }
        const body = await readRequestBody(request);
        if (body.kind === "too-large") {
            sendRefusal(response, refusals.tooLarge);
            return;
        }
        const { route, routing, version } = resolution;
        const timeoutMs = readDeadlineMs(request.headers, route.timeoutMs);
        const deadline = new CallDeadline(timeoutMs, response);
        const call: CallContext = {
            requestId,
            service: routing.service,
            class: routing.class,
            caller: readHeader(request.headers, proxyHeaders.caller) ?? request.socket.remoteAddress ?? "",
            version: version.version,
            route,
            backendVersion: version.content.pools[route.pool].backendVersion,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers: forwardHeaders(request.headers),
            body,
            alreadyRetried: readHeader(request.headers, proxyHeaders.attempt) !== undefined,
            deadlineMs: this.options.clock.monotonicMs() + timeoutMs,
            signal: deadline.signal,
        };
        try {
            await this.admitAndForward(call, response);
        }
        finally {
            deadline.dispose();
        }
    }

    private resolve(request: IncomingMessage): Resolution {
        const table = this.options.table();
        if (!table) {
            return { refusal: refusals.starting };
        }
        const routing = table.get(serviceOf(request));
        if (!routing) {
            return { refusal: refusals.unknownService };
        }
        const version = this.chooseVersion(routing);
        const route = version && matchRoute(version.content, request.method ?? "GET", request.url ?? "/");
        return version && route ? { routing, version, route } : { refusal: refusals.noRoute };
    }

    private chooseVersion(routing: ServiceRouting): ServiceRouting["stable"] {
        const { guard, proxyFraction, random } = this.options;
        return chooseVersion(routing, {
            proxyFraction: routing.candidate ? proxyFraction(routing.service, routing.candidate.version) : 0,
            requestFraction: random.fraction(),
            suppressed: guard.isSuppressed(routing.service),
        });
    }

    private gateOf(service: string, serviceClass: ServiceClass): AdmissionGate {
        const key = `${service}/${serviceClass}`;
        const present = this.gates.get(key);
        if (present) {
            return present;
        }
        const limits = () => {
            const routing = this.options.table()?.get(service);
            const content = (routing?.stable ?? routing?.candidate)?.content;
            return content?.admission ?? { maximumConcurrent: 1, maximumQueued: 0 };
        };
        const gate = new AdmissionGate(this.options.clock, limits);
        this.gates.set(key, gate);
        return gate;
    }

    private async admitAndForward(call: CallContext, response: ServerResponse): Promise<void> {
        const startedMs = this.options.clock.monotonicMs();
        const admission = await this.gateOf(call.service, call.class).enter(call);
        if (!admission.admitted) {
            sendRefusal(response, refusals.notRun("too many requests wait at this node", admission.retryAfterMs));
            return;
        }
        try {
            const outcome = await this.forward(call, response);
            const elapsedMs = this.options.clock.monotonicMs() - startedMs;
            const { route, service, version } = call;
            this.options.recorder.record({ service, version, route: route.name, outcome, elapsedMs });
        }
        finally {
            admission.release();
        }
    }

    /** Forwards the call and answers the caller. Returns how it ended, as evidence on the version. */
    private async forward(call: CallContext, response: ServerResponse): Promise<AttemptOutcome> {
        const { maskedFailure, result } = await this.options.runner.run(call);
        if (!("status" in result)) {
            sendRefusal(response, refusals.ofOutcome(result.outcome));
            return result.outcome;
        }
        const whole = await relayAnswer(response, result);
        if (whole) {
            // A retry spares the caller, but the version's failure still counts against it.
            return maskedFailure ?? result.outcome;
        }
        return call.signal.aborted ? AttemptOutcome.Cancelled : AttemptOutcome.Broken;
    }
}
