import { createServer, IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, Socket } from "node:net";
import { MeshRoute } from "../configuration/MeshRoute";
import { Disposable } from "../core/Disposable";
import { readHeader } from "../proxy/readHeader";
import { listenHttp } from "../transport/listenHttp";
import { SocketAddress } from "../transport/SocketAddress";
import { bodyRefusals } from "./bodyRefusals";
import { CallerAttempts } from "./CallerAttempts";
import { CallerBodies } from "./CallerBodies";
import { callerDeadline } from "./callerDeadline";
import { CallerResources } from "./CallerResources";
import { connectionHeaders } from "./connectionHeaders";
import { IngressExchange } from "./IngressExchange";
import { IngressOptions } from "./IngressOptions";
import { IngressRequest } from "./IngressRequest";
import { invalidRequestResponse } from "./invalidRequestResponse";
import { isServerError } from "./isServerError";
import { mayRunBeside } from "./mayRunBeside";
import { passStages } from "./passStages";
import { refusalOf } from "./refusalOf";
import { RequestRefusal } from "./RequestRefusal";
import { writeRefusal } from "./writeRefusal";
import { writeResponse } from "./writeResponse";

/** Standard name of the header with a caller's API key. */
const AUTHORIZATION_HEADER = "authorization";

/** Requests with larger heads get status 431. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** Limit of a body while this node has no configuration. */
const DEFAULT_BODY_BYTES = 8_388_608;

/** Retry-after time while this node has no configuration: it gets one within a second. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

/** A body without a route, whose request is refused in any case, is read for this long at most. */
const BODY_TIMEOUT_MS = 3_000;

/** Retry-after time while this node stops: the caller's next request goes elsewhere or waits for the new process. */
const STOPPING_RETRY_AFTER_MS = 50;

/**
 * Serves the callers of this host: finds the route, forwards the request and returns the response. It never waits for
 * the control plane.
 */
export class IngressServer implements Disposable {
    private readonly server: Server;
    private readonly removedHeaders: ReadonlySet<string>;
    /** Also removed if the configuration has client accounts. */
    private readonly accountHeaders: ReadonlySet<string>;
    private readonly attempts = new CallerAttempts();
    private readonly resources: CallerResources;
    private refusing = false;

    public constructor(private readonly options: IngressOptions) {
        const { account, callerService, deadlineMs, expectedInstance } = options.names;
        this.removedHeaders = new Set([callerService, deadlineMs, expectedInstance]);
        this.accountHeaders = new Set([...this.removedHeaders, account, AUTHORIZATION_HEADER]);
        this.server = createServer(
            { maxHeaderSize: MAXIMUM_HEADER_BYTES, keepAlive: true },
            (request, response) => this.read(request, response),
        );
        this.server.requestTimeout = 0;
        this.resources = new CallerResources(options);
        this.server.on("connection", (socket) => this.resources.accept(socket));
        this.server.on("clientError", (error, socket) => this.onInvalidRequest(error, socket as Socket));
    }

    public get activeRequests(): number {
        return this.resources.connections.activeRequests;
    }

    /** Requests that wait until earlier ones of their connection have been answered. */
    public get waitingRequests(): number {
        return this.resources.connections.waitingRequests;
    }

    /** Bytes of the bodies of callers' requests. */
    public get bodyBytes(): number {
        return this.resources.bodies.heldBytes;
    }

    /** Bytes of responses that callers have not read. */
    public get unreadResponseBytes(): number {
        return this.resources.unreadResponses.heldBytes;
    }

    public listen(address: SocketAddress): Promise<SocketAddress> {
        return listenHttp(this.server, address);
    }

    /** Applies the limits of the configuration in force. */
    public applyLimits(limits: { readonly headerTimeoutMs: number; readonly idleTimeoutMs: number; }): void {
        this.server.keepAliveTimeout = limits.idleTimeoutMs;
        this.server.headersTimeout = limits.idleTimeoutMs + limits.headerTimeoutMs;
    }

    /** Asks callers to close their connections after the current request, and still serves requests that arrive. */
    public drain(): void {
        this.resources.connections.drain();
    }

    /** Refuses all further requests: too little time is left to serve them before the process ends. */
    public refuseAll(): void {
        this.refusing = true;
    }

    /**
     * Accepts no new connections; open ones are still served. The method of the HTTP server would also close idle
     * connections, and with them requests that have arrived but were not read yet.
     */
    public stopListening(): void {
        NetServer.prototype.close.call(this.server);
    }

    public dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Adds a request to those of its connection, which decides when it runs. */
    private read(request: IncomingMessage, response: ServerResponse): void {
        const connection = this.resources.connections.of(request.socket);
        const lookup = this.options.findRoute(request.headers.host ?? "", request.url ?? "/");
        const { clock, names, onRead } = this.options;
        const unreadMs = this.resources.backlog.unreadMs(request.socket);
        const settled = this.resources.backlog.settle(request.socket);
        const arrivedMs = clock.monotonicMs() - unreadMs;
        onRead(readHeader(request.headers, names.requestId) ?? "", unreadMs);
        const firstSentMs = lookup?.route
            ? this.attempts.take(this.repeatedOf(request, lookup.route, arrivedMs), arrivedMs)
            : arrivedMs;
        const exchange = { request, response, connection, arrivedMs, firstSentMs, settled, lookup };
        connection.add({
            request,
            response,
            mayRunBeside: mayRunBeside(request, lookup),
            run: (signal) => void this.serve({ ...exchange, signal }),
        });
    }

    private async serve(exchange: IngressExchange): Promise<void> {
        try {
            await this.handle(exchange);
        }
        catch (error) {
            this.fail(exchange, error as Error);
        }
    }

    /** Refuses bytes that are no valid request, after the responses to the requests before them. */
    private onInvalidRequest(error: Error, socket: Socket): void {
        if (this.resources.connections.of(socket).stopReading()) {
            socket.end(invalidRequestResponse(error));
        }
    }

    /** Reports that the caller's connection failed while its request was read or answered. */
    private fail({ arrivedMs, request }: IngressExchange, { message }: Error): void {
        this.reportRefusal(request, undefined, undefined, 0, { status: 0, reason: message }, arrivedMs, 0);
        request.socket.destroy();
    }

    /** Sends a response once those to earlier requests of the connection were sent. */
    private answer(exchange: IngressExchange, bytes: number, write: (isLast: boolean) => void): void {
        const release = this.resources.unreadResponses.hold(exchange.request.socket, bytes);
        exchange.response.once("finish", release);
        exchange.connection.answer(exchange.response, bytes, (isLast) => {
            try {
                write(isLast);
            }
            catch (error) {
                // For example a header of the backend server that is not valid.
                this.fail(exchange, error as Error);
            }
        });
    }

    private async handle(exchange: IngressExchange): Promise<void> {
        const { lookup, request } = exchange;
        const { clock } = this.options;
        const timeLeftMs = lookup?.route
            ? this.deadlineOf(exchange, lookup.route) - clock.monotonicMs()
            : BODY_TIMEOUT_MS;
        const reading = this.resources.bodies.read(request, lookup?.maximumBodyBytes ?? DEFAULT_BODY_BYTES, timeLeftMs);
        try {
            await this.handleBody(exchange, await reading.result);
        }
        finally {
            reading.release();
        }
    }

    private async handleBody(
        exchange: IngressExchange,
        read: Awaited<ReturnType<CallerBodies["read"]>["result"]>,
    ): Promise<void> {
        const { arrivedMs, lookup, request } = exchange;
        await exchange.settled;
        const refuse = (refusal: RequestRefusal, account?: string, remainingMs = 0): void => {
            this.reportRefusal(
                request,
                lookup?.route,
                account,
                lookup?.configurationVersion ?? 0,
                refusal,
                arrivedMs,
                remainingMs,
            );
            this.rememberUnserved(exchange);
            const { requestId } = this.options.names;
            this.answer(exchange, 0, (isLast) => writeRefusal(exchange.response, refusal, requestId, isLast));
        };
        if (read.kind !== "complete") {
            // The rest of the body is not read, so no request can follow it.
            exchange.connection.endAfterCurrent();
            refuse(bodyRefusals[read.kind]);
            return;
        }
        if (exchange.signal.aborted) {
            refuse(refusalOf({ kind: "not-run", reason: "cancelled", retryAfterMs: 0 }));
            return;
        }
        if (this.refusing) {
            refuse({ status: 503, reason: "stopping", retryAfterMs: STOPPING_RETRY_AFTER_MS });
            return;
        }
        if (!lookup) {
            refuse({ status: 503, reason: "no-configuration", retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS });
            return;
        }
        if (!lookup.route) {
            refuse({ status: 404, reason: "no-route" });
            return;
        }
        if (this.deadlineOf(exchange, lookup.route) <= this.options.clock.monotonicMs()) {
            refuse(refusalOf({ kind: "not-run", reason: "expired", retryAfterMs: 0 }));
            return;
        }
        const admission = passStages(this.options.stages, {
            requestId: readHeader(request.headers, this.options.names.requestId) ?? "",
            route: lookup.route,
            configurationVersion: lookup.configurationVersion,
            authorization: request.headers.authorization,
            arrivedMs,
            account: undefined,
            priority: lookup.route.priority,
        });
        if (admission.refusal) {
            refuse(admission.refusal, admission.request.account);
            return;
        }
        // The configuration may have changed while the body was read; the stages used the one now in force.
        const { hasAccounts } = this.options.findRoute(request.headers.host ?? "", request.url ?? "/") ?? lookup;
        const removedHeaders = hasAccounts ? this.accountHeaders : this.removedHeaders;
        const headers = connectionHeaders.remove(request.rawHeaders, removedHeaders);
        let hasRun = true;
        try {
            hasRun = await this.forward(exchange, admission.request, headers, read.body, refuse);
        }
        finally {
            this.options.stages.forEach((stage) => stage.settle(admission.request, hasRun));
        }
    }

    /** Dispatches an admitted request and answers it. Returns false if it provably did not run. */
    private async forward(
        exchange: IngressExchange,
        { account, arrivedMs, priority, requestId, route }: IngressRequest,
        headers: readonly string[],
        body: Buffer,
        refuse: (refusal: RequestRefusal, account: string | undefined, remainingMs: number) => void,
    ): Promise<boolean> {
        const { callerService, chooseService, clock, dispatcher, onServed } = this.options;
        const { firstSentMs, request, signal } = exchange;
        const deadlineMs = this.deadlineOf(exchange, route);
        const targetAtMs = firstSentMs + route.targetLatencyMs;
        const service = chooseService(route);
        const result = await dispatcher.dispatch({
            route,
            service,
            request: {
                requestId,
                route: route.name,
                service,
                callerService,
                method: request.method ?? "GET",
                target: request.url ?? "/",
                headers,
                body,
                priority,
                ...(account !== undefined && { account }),
            },
            targetAtMs,
            deadlineMs,
            signal,
        });
        if (result.kind === "answered") {
            const { answer } = result;
            const nowMs = clock.monotonicMs();
            if (isServerError(answer.status)) {
                this.rememberUnserved(exchange);
            }
            onServed({
                requestId,
                route: route.name,
                status: answer.status,
                elapsedMs: nowMs - arrivedMs,
                lateMs: nowMs - targetAtMs,
                earlierMs: arrivedMs - firstSentMs,
            });
            this.answer(exchange, answer.body.length, (isLast) => writeResponse(exchange.response, answer, isLast));
            return true;
        }
        refuse(refusalOf(result), account, deadlineMs - clock.monotonicMs());
        return result.kind !== "not-run";
    }

    private deadlineOf({ arrivedMs, request }: IngressExchange, route: MeshRoute): number {
        return callerDeadline.endMs(arrivedMs, readHeader(request.headers, this.options.names.deadlineMs), route);
    }

    private repeatedOf({ headers, method = "GET", url = "/" }: IncomingMessage, route: MeshRoute, arrivedMs: number) {
        const waitMs = callerDeadline.waitMs(readHeader(headers, this.options.names.deadlineMs), route);
        return { method, host: headers.host ?? "", target: url, callerDeadlineMs: arrivedMs + waitMs };
    }

    /** Notes that the caller of a request that was not served may send it again. */
    private rememberUnserved({ arrivedMs, firstSentMs, lookup, request }: IngressExchange): void {
        if (lookup?.route) {
            const repeated = this.repeatedOf(request, lookup.route, arrivedMs);
            this.attempts.remember(repeated, firstSentMs, this.options.clock.monotonicMs());
        }
    }

    private reportRefusal(
        request: IncomingMessage,
        route: MeshRoute | undefined,
        account: string | undefined,
        configurationVersion: number,
        { reason, status }: RequestRefusal,
        arrivedMs: number,
        remainingMs: number,
    ): void {
        this.options.onRefusal({
            requestId: readHeader(request.headers, this.options.names.requestId) ?? "",
            route: route?.name,
            account,
            configurationVersion,
            status,
            reason,
            elapsedMs: Math.round(this.options.clock.monotonicMs() - arrivedMs),
            remainingMs: Math.round(remainingMs),
        });
    }
}
