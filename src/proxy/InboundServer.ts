import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { ServiceClass } from "../catalogue/ServiceClass";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { listenHttp } from "../transport/listenHttp";
import { SocketAddress } from "../transport/SocketAddress";
import { AdmissionGate } from "./AdmissionGate";
import { CallDeadline } from "./CallDeadline";
import { forwardHeaders } from "./forwardHeaders";
import { LocalBackend } from "./LocalBackend";
import { localBackends } from "./localBackends";
import { proxyHeaders } from "./proxyHeaders";
import { proxyLimits } from "./proxyLimits";
import { readDeadlineMs } from "./readDeadlineMs";
import { readHeader } from "./readHeader";
import { readRequestBody } from "./readRequestBody";
import { refusals } from "./refusals";
import { relayAnswer } from "./relayAnswer";
import { sendRefusal } from "./sendRefusal";
import { UpstreamClient } from "./UpstreamClient";

/** Requests that may wait at a backend server, as a multiple of its slots. */
const QUEUE_PER_SLOT = 2;

/** What the inbound side is built from. */
type InboundOptions = {
    readonly clock: Clock;
    readonly upstream: UpstreamClient;
    /** The local backend server of a service and version label. */
    readonly backend: (key: string) => LocalBackend | undefined;
};

const isServiceClass = (value: string | undefined): value is ServiceClass =>
    Object.values(ServiceClass).some((known) => known === value);

/** Takes requests of other nodes for the backend servers of this host, never more at a time than they have slots. */
export class InboundServer implements Disposable {
    private readonly server: Server;
    private readonly gates = new Map<string, AdmissionGate>();
    private active = 0;

    public constructor(private readonly options: InboundOptions) {
        const limits = { maxHeaderSize: proxyLimits.maximumHeaderBytes };
        this.server = createServer(limits, (request, response) => void this.serve(request, response));
        // Longer than nodes keep idle connections, so that this side never closes one that is being used.
        this.server.keepAliveTimeout = proxyLimits.maximumIdleMs * 3;
    }

    public get activeRequests(): number {
        return this.active;
    }

    public listen(address: SocketAddress): Promise<SocketAddress> {
        return listenHttp(this.server, address);
    }

    public stopAccepting(): void {
        this.server.close();
        this.server.closeIdleConnections();
    }

    public dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.active += 1;
        try {
            await this.admit(request, response);
        }
        catch {
            response.destroy();
        }
        finally {
            this.active -= 1;
        }
    }

    private async admit(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { backend, clock } = this.options;
        const { headers } = request;
        const service = readHeader(headers, proxyHeaders.service) ?? "";
        const backendVersion = readHeader(headers, proxyHeaders.backendVersion) ?? "";
        const key = localBackends.keyOf({ service, backendVersion });
        const local = backend(key);
        if (!local || !localBackends.takesRequests(local, clock.monotonicMs())) {
            sendRefusal(response, refusals.noBackendHere);
            return;
        }
        const timeoutMs = readDeadlineMs(headers, proxyLimits.defaultTimeoutMs);
        const deadline = new CallDeadline(timeoutMs, response);
        try {
            await this.admitUntil(deadline.signal, clock.monotonicMs() + timeoutMs, local, request, response);
        }
        finally {
            deadline.dispose();
        }
    }

    private async admitUntil(
        signal: AbortSignal,
        deadlineMs: number,
        local: LocalBackend,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        const { headers } = request;
        const serviceClass = readHeader(headers, proxyHeaders.serviceClass);
        const admission = await this.gateOf(localBackends.keyOf(local)).enter({
            class: isServiceClass(serviceClass) ? serviceClass : ServiceClass.Standard,
            caller: readHeader(headers, proxyHeaders.caller) ?? "",
            deadlineMs,
            signal,
        });
        if (!admission.admitted) {
            sendRefusal(response, refusals.notRun("the backend server has no free slot", admission.retryAfterMs));
            return;
        }
        try {
            await this.forward(request, response, local, signal);
        }
        finally {
            admission.release();
        }
    }

    private async forward(
        request: IncomingMessage,
        response: ServerResponse,
        { address }: LocalBackend,
        signal: AbortSignal,
    ): Promise<void> {
        const body = await readRequestBody(request);
        if (body.kind === "too-large") {
            sendRefusal(response, refusals.tooLarge);
            return;
        }
        const held = body.kind === "held" ? body.bytes : undefined;
        const result = await this.options.upstream.send({
            address,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers: forwardHeaders(request.headers),
            body: body.kind === "streamed" ? body.stream : held,
            signal,
        });
        if ("status" in result) {
            await relayAnswer(response, result);
            return;
        }
        sendRefusal(response, refusals.ofOutcome(result.outcome));
    }

    private gateOf(key: string): AdmissionGate {
        const present = this.gates.get(key);
        if (present) {
            return present;
        }
        const limits = () => {
            const slots = this.options.backend(key)?.slots ?? 1;
            return { maximumConcurrent: slots, maximumQueued: slots * QUEUE_PER_SLOT };
        };
        const gate = new AdmissionGate(this.options.clock, limits);
        this.gates.set(key, gate);
        return gate;
    }
}
