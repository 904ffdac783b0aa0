import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { ServiceClass } from "../catalogue/ServiceClass";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { listenHttp } from "../transport/listenHttp";
import { SocketAddress } from "../transport/SocketAddress";
import { AdmissionControllers } from "./AdmissionControllers";
import { AttemptOutcome } from "./AttemptOutcome";
import { CallDeadline } from "./CallDeadline";
import { forwardHeaders } from "./forwardHeaders";
import { InboundCrashes } from "./InboundCrashes";
import { LocalBackend } from "./LocalBackend";
import { localBackends } from "./localBackends";
import { proxyHeaders } from "./proxyHeaders";
import { proxyLimits } from "./proxyLimits";
import { readHeader } from "./readHeader";
import { readRequestBody } from "./readRequestBody";
import { readTimeoutMs } from "./readTimeoutMs";
import { refusals } from "./refusals";
import { relayResponse } from "./relayResponse";
import { sendRefusal } from "./sendRefusal";
import { UpstreamClient } from "./UpstreamClient";
import { withoutHeaders } from "./withoutHeaders";

/** Bounds the queue of a backend server as a multiple of its slots. */
const QUEUED_REQUESTS_PER_SLOT = 2;

type InboundOptions = {
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "unreadMs">;
    readonly upstream: UpstreamClient;
    /** Finds the backend server on this host by "service/backendVersion". */
    readonly backend: (key: string) => LocalBackend | undefined;
    readonly crashes: InboundCrashes;
};

const isServiceClass = (value: string | undefined): value is ServiceClass =>
    Object.values(ServiceClass).some((known) => known === value);

/**
 * Forwards requests from nodes to the backend servers on this host. A backend server gets at most as many requests at a
 * time as it has slots.
 */
export class InboundServer implements Disposable {
    private readonly server: Server;
    private readonly admission: AdmissionControllers;
    private active = 0;

    public constructor(private readonly options: InboundOptions) {
        this.admission = new AdmissionControllers(options.clock);
        const limits = { maxHeaderSize: proxyLimits.maximumHeaderBytes };
        this.server = createServer(limits, (request, response) => void this.serve(request, response));
        // Longer than the idle timeout of `UpstreamClient`, so that this side closes no connection that may be reused.
        this.server.keepAliveTimeout = proxyLimits.maximumIdleMs * 3;
    }

    public get activeRequests(): number {
        return this.active;
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
            await this.handle(request, response);
        }
        catch {
            response.destroy();
        }
        finally {
            this.active -= 1;
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { backend, clock, turns } = this.options;
        const { headers } = request;
        const service = readHeader(headers, proxyHeaders.service) ?? "";
        const backendVersion = readHeader(headers, proxyHeaders.backendVersion) ?? "";
        const key = localBackends.keyOf({ service, backendVersion });
        const localBackend = backend(key);
        if (!localBackend || !localBackends.acceptsRequests(localBackend, clock.monotonicMs())) {
            sendRefusal(response, refusals.noBackendHere);
            return;
        }
        const nowMs = clock.monotonicMs();
        const remainingMs = readTimeoutMs(headers, proxyLimits.defaultTimeoutMs) - turns.unreadMs;
        if (remainingMs <= 0) {
            sendRefusal(response, refusals.expired);
            return;
        }
        const deadline = new CallDeadline(remainingMs, response);
        try {
            await this.admitAndForward(
                deadline.signal,
                nowMs + remainingMs,
                localBackend,
                request,
                response,
            );
        }
        finally {
            deadline.dispose();
        }
    }

    private async admitAndForward(
        signal: AbortSignal,
        deadlineMs: number,
        localBackend: LocalBackend,
        request: IncomingMessage,
        response: ServerResponse,
    ): Promise<void> {
        const { headers } = request;
        const serviceClass = readHeader(headers, proxyHeaders.serviceClass);
        const key = localBackends.keyOf(localBackend);
        const admission = await this.admission.of(key, () => this.limitsOf(key)).admit({
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
            await this.forward(request, response, localBackend, signal);
        }
        finally {
            admission.release();
        }
    }

    private async forward(
        request: IncomingMessage,
        response: ServerResponse,
        localBackend: LocalBackend,
        signal: AbortSignal,
    ): Promise<void> {
        const body = await readRequestBody(request);
        if (body.kind === "too-large") {
            sendRefusal(response, refusals.tooLarge);
            return;
        }
        const { crashes } = this.options;
        const crashRetryAfterMs = crashes.retryAfterMs(request.headers, localBackend);
        if (crashRetryAfterMs !== undefined) {
            sendRefusal(response, refusals.crashing(crashRetryAfterMs));
            return;
        }
        const end = crashes.begin(request.headers, localBackend);
        const held = body.kind === "held" ? body.bytes : undefined;
        const result = await this.options.upstream.sendToBackend({
            address: localBackend.address,
            method: request.method ?? "GET",
            path: request.url ?? "/",
            headers: forwardHeaders(request.headers),
            body: body.kind === "streamed" ? body.stream : held,
            signal,
        });
        if ("status" in result) {
            // Only this node reports crashes, not the backend server.
            const headers = withoutHeaders(result.headers, [proxyHeaders.crashReport]);
            const isComplete = await relayResponse(response, { ...result, headers }).catch(async (error: unknown) => {
                await end(AttemptOutcome.Cancelled);
                throw error;
            });
            await end(isComplete || signal.aborted ? result.outcome : AttemptOutcome.Broken);
            return;
        }
        const report = await end(result.outcome);
        const refusal = refusals.ofOutcome(result.outcome);
        const headers = report
            && { [proxyHeaders.crashReport]: Buffer.from(JSON.stringify(report)).toString("base64") };
        sendRefusal(response, { ...refusal, headers });
    }

    private limitsOf(key: string) {
        const slots = this.options.backend(key)?.slots ?? 1;
        return { maximumConcurrent: slots, maximumQueued: slots * QUEUED_REQUESTS_PER_SLOT };
    }
}
