import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { RandomSource } from "../core/RandomSource";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { requestFingerprint } from "../crashes/requestFingerprint";
import { listenHttp } from "../transport/listenHttp";
import { SocketAddress } from "../transport/SocketAddress";
import { AdmissionControllers } from "./AdmissionControllers";
import { AttemptOutcome } from "./AttemptOutcome";
import { CallContext } from "./CallContext";
import { CallDeadline } from "./CallDeadline";
import { CallRunner } from "./CallRunner";
import { CandidateGuard } from "./CandidateGuard";
import { chooseVersion } from "./chooseVersion";
import { forwardHeaders } from "./forwardHeaders";
import { matchRoute } from "./matchRoute";
import { proxyHeaders } from "./proxyHeaders";
import { proxyLimits } from "./proxyLimits";
import { readHeader } from "./readHeader";
import { readRequestBody } from "./readRequestBody";
import { readTimeoutMs } from "./readTimeoutMs";
import { Refusal } from "./Refusal";
import { refusals } from "./refusals";
import { relayResponse } from "./relayResponse";
import { RoutingTable } from "./RoutingTable";
import { sendRefusal } from "./sendRefusal";
import { StatisticsRecorder } from "./StatisticsRecorder";
import { withoutHeaders } from "./withoutHeaders";

type CallerOptions = {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "unreadMs">;
    readonly random: RandomSource;
    /** Undefined until the node has caught up with the configuration that it had before a restart. */
    readonly routingTable: () => RoutingTable | undefined;
    /** A fixed number in [0, 1) for this proxy and version, which decides whether the proxy takes part in a rollout. */
    readonly proxyFraction: (service: string, version: number) => number;
    readonly guard: CandidateGuard;
    readonly recorder: StatisticsRecorder;
    readonly runner: CallRunner;
    readonly crashEvidence: Pick<CrashEvidenceTask, "verdictOf">;
};

/** Headers by which nodes recognize requests: a caller must not choose them, or it could have others' refused. */
const NODE_HEADERS = [proxyHeaders.fingerprint, proxyHeaders.crashRank, proxyHeaders.trial];

type ServiceRouting = RoutingTable extends ReadonlyMap<string, infer Routing> ? Routing : never;

/** The version and route chosen for a request, or the refusal to send. */
type Resolution =
    | { readonly refusal: Refusal; }
    | {
        readonly refusal?: undefined;
        readonly routing: ServiceRouting;
        readonly version: NonNullable<ServiceRouting["stable"]>;
        readonly route: CallContext["route"];
    };

/** The requested service: the service header or, without it, the first label of the host name. */
const serviceOf = ({ headers }: IncomingMessage): string =>
    readHeader(headers, proxyHeaders.service) ?? (headers.host ?? "").split(":")[0].split(".")[0];

/** Serves the callers on this host: routes, admits and forwards requests. Never waits for the control plane. */
export class CallerServer implements Disposable {
    private readonly server: Server;
    private readonly admission: AdmissionControllers;
    private requests = 0;
    private active = 0;
    private stopping = false;

    public constructor(private readonly options: CallerOptions) {
        this.admission = new AdmissionControllers(options.clock);
        const limits = { maxHeaderSize: proxyLimits.maximumHeaderBytes };
        this.server = createServer(limits, (request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    public get activeRequests(): number {
        return this.active;
    }

    /** Number of requests received since the start. */
    public get servedRequests(): number {
        return this.requests;
    }

    public listen(address: SocketAddress): Promise<SocketAddress> {
        return listenHttp(this.server, address);
    }

    /** See `AdmissionController.limitTo`. */
    public limitTo(endMs: number): void {
        this.admission.limitTo(endMs);
    }

    /** See `AdmissionController.refuseQueued`. */
    public refuseQueued(): void {
        this.admission.refuseQueued();
    }

    /** Stops accepting connections and closes idle ones; requests in progress continue. */
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
        const { clock, turns } = this.options;
        const arrivedMs = clock.monotonicMs() - turns.unreadMs;
        this.requests += 1;
        this.active += 1;
        const requestId = readHeader(request.headers, proxyHeaders.requestId) ?? this.newRequestId();
        response.setHeader(proxyHeaders.requestId, requestId);
        if (this.stopping) {
            response.setHeader("connection", "close");
        }
        try {
            await this.handle(request, response, requestId, arrivedMs);
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

    private async handle(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        arrivedMs: number,
    ): Promise<void> {
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
        const deadlineMs = arrivedMs + readTimeoutMs(request.headers, route.timeoutMs);
        const remainingMs = deadlineMs - this.options.clock.monotonicMs();
        if (remainingMs <= 0) {
            sendRefusal(response, refusals.expired);
            return;
        }
        const deadline = new CallDeadline(remainingMs, response);
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
            headers: withoutHeaders(forwardHeaders(request.headers), NODE_HEADERS),
            body,
            fingerprint: this.fingerprintOf(request, routing.service, body),
            alreadyRetried: readHeader(request.headers, proxyHeaders.attempt) !== undefined,
            deadlineMs,
            signal: deadline.signal,
        };
        try {
            await this.admitAndForward(call, response);
        }
        finally {
            deadline.dispose();
        }
    }

    private fingerprintOf(request: IncomingMessage, service: string, body: CallContext["body"]): string | undefined {
        const { headers, method = "GET", url = "/" } = request;
        return body.kind === "streamed"
            ? undefined
            : requestFingerprint({
                method,
                target: url,
                headers: ["host", service],
                body: body.kind === "held" ? body.bytes : Buffer.alloc(0),
                account: readHeader(headers, proxyHeaders.caller),
            });
    }

    private resolve(request: IncomingMessage): Resolution {
        const table = this.options.routingTable();
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

    private limitsOf(service: string) {
        const routing = this.options.routingTable()?.get(service);
        const content = (routing?.stable ?? routing?.candidate)?.content;
        return content?.admission ?? { maximumConcurrent: 1, maximumQueued: 0 };
    }

    private async admitAndForward(call: CallContext, response: ServerResponse): Promise<void> {
        const startedMs = this.options.clock.monotonicMs();
        const verdict = this.options.crashEvidence.verdictOf(call.fingerprint);
        if (verdict.kind === "refused") {
            sendRefusal(response, refusals.crashing(verdict.retryAfterMs));
            return;
        }
        const controller = this.admission.of(`${call.service}/${call.class}`, () => this.limitsOf(call.service));
        const admission = await controller.admit(call);
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

    /** Forwards the call and responds to the caller. Returns the outcome for the request statistics of the version. */
    private async forward(call: CallContext, response: ServerResponse): Promise<AttemptOutcome> {
        const { maskedFailure, result } = await this.options.runner.run(call);
        if (!("status" in result)) {
            sendRefusal(response, refusals.ofOutcome(result.outcome));
            return result.outcome;
        }
        const complete = await relayResponse(response, result);
        if (complete) {
            // A successful retry hides the failure from the caller, but the failure still counts against the version.
            return maskedFailure ?? result.outcome;
        }
        return call.signal.aborted ? AttemptOutcome.Cancelled : AttemptOutcome.Broken;
    }
}
