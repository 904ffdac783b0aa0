import { connect } from "node:net";
import { Disposable } from "../core/Disposable";
import { MemoryBudget } from "../core/MemoryBudget";
import { ReadTurns } from "../core/ReadTurns";
import { parseAddress } from "../transport/parseAddress";
import { ageRequest } from "./ageRequest";
import { BackendConnection } from "./BackendConnection";
import { BackendNotice } from "./BackendNotice";
import { callerPresence } from "./callerPresence";
import { CallRequest } from "./CallRequest";
import { CallResponse } from "./CallResponse";
import { CallResult } from "./CallResult";
import { connectionHeaders } from "./connectionHeaders";
import { findHeader } from "./findHeader";
import { HeaderNames } from "./HeaderNames";
import { readBackendNotice } from "./readBackendNotice";
import { unconfirmedResult } from "./unconfirmedResult";

/** A connection on the same host is accepted or refused far sooner; without either nothing is known. */
const REACHABILITY_TIMEOUT_MS = 100;

/** The response of an instance to a request for another one. */
const MISDIRECTED_STATUS = 421;

/** Why a request was not sent, by what closed its connection before it was established. */
const notRunReasons = { refused: "unreachable", cancelled: "cancelled", "timed-out": "expired" } as const;

const headerLines = (headers: readonly string[]): string => {
    let lines = "";
    for (let index = 0; index < headers.length; index += 2) {
        lines += `${headers[index]}: ${headers[index + 1]}\r\n`;
    }
    return lines;
};

/** Returns a text that is UTF-8 once it has been encoded with a byte for each character, as heads of requests are. */
const toHeaderBytes = (text: string): string => Buffer.from(text).toString("latin1");

const hasHeader = (headers: readonly string[], name: string): boolean => findHeader(headers, name) !== undefined;

/** Sends requests to the backend server of this host over pooled keep-alive connections. */
export class BackendClient implements Disposable {
    private readonly connections = new Set<BackendConnection>();
    private readonly memory;
    private readonly readTurns = new ReadTurns();
    private openedCount = 0;
    private reachabilityCheck: Promise<boolean> | undefined;

    /**
     * @param onNotice is called with what each response states about the backend server
     * @param onInvalid is called when a connection is destroyed because of what the backend server sent
     * @param limitBytes limit of the unfinished responses of all connections together
     */
    public constructor(
        private readonly names: HeaderNames,
        private readonly onNotice: (instanceId: string, notice: BackendNotice) => void,
        private readonly onInvalid: (reason: string, instanceId: string) => void,
        limitBytes: number,
    ) {
        this.memory = new MemoryBudget(limitBytes);
    }

    /** Bytes of the unfinished responses of all connections. */
    public get heldBytes(): number {
        return this.memory.heldBytes;
    }

    /** Connections opened since the start, for the metrics. */
    public get openedConnections(): number {
        return this.openedCount;
    }

    /**
     * Sends a request once and waits for the complete response. It never retries.
     * @param timeoutMs time left for the response
     * @param signal aborts when the caller disconnects or gives up
     */
    public async send(
        address: string,
        request: CallRequest,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallResult> {
        const connection = this.acquireConnection(address, request);
        if (!connection) {
            return { kind: "not-run", reason: "unreachable", retryAfterMs: 0 };
        }
        let closeReason: "timed-out" | "cancelled" | undefined;
        const closeWith = (reason: "timed-out" | "cancelled"): void => {
            closeReason ??= reason;
            connection.close();
        };
        const timer = setTimeout(() => closeWith("timed-out"), timeoutMs);
        const onAbort = (): void => closeWith("cancelled");
        signal.addEventListener("abort", onAbort, { once: true });
        const { body, method, requestId } = request;
        const head = this.encodeHead(request, timeoutMs);
        const sentAtMs = performance.now();
        let isUnconfirmed = false;
        const mayStart = (): boolean => {
            const waitedMs = performance.now() - sentAtMs;
            isUnconfirmed = waitedMs > callerPresence.startWithinMs(request);
            // The timer may be due, but is handled only after this turn.
            closeReason ??= waitedMs >= timeoutMs ? "timed-out" : undefined;
            return !isUnconfirmed && closeReason === undefined;
        };
        const result = await connection.send({ head, body, method, requestId, mayStart });
        clearTimeout(timer);
        signal.removeEventListener("abort", onAbort);
        switch (result.kind) {
            case "answered":
                if (result.answer.status !== MISDIRECTED_STATUS) {
                    this.onNotice(request.instanceId, readBackendNotice(result.answer.headers, this.names));
                }
                return this.classify(result.answer);
            case "unreachable":
                return isUnconfirmed
                    ? unconfirmedResult(ageRequest(request, performance.now() - sentAtMs))
                    : { kind: "not-run", reason: notRunReasons[closeReason ?? "refused"], retryAfterMs: 0 };
            case "broken":
                if (closeReason === "timed-out") {
                    this.closeIdle();
                }
                return { kind: "unknown", reason: closeReason ?? await this.reasonOfBreak(address, request) };
        }
    }

    /**
     * Closes the connections that have no request in progress, for example after a request on another connection timed
     * out.
     */
    public closeIdle(): void {
        [...this.connections].filter(({ isBusy }) => !isBusy).forEach((connection) => connection.close());
    }

    public dispose(): void {
        [...this.connections].forEach((connection) => connection.close());
    }

    /** Reuses the most recently used connection first, so that surplus connections reach their idle timeout. */
    private acquireConnection(address: string, { instanceId, requestId }: CallRequest): BackendConnection | undefined {
        const nowMs = performance.now();
        for (const connection of [...this.connections].reverse()) {
            if (connection.isUsable(nowMs, requestId)) {
                this.connections.delete(connection);
                this.connections.add(connection);
                return connection;
            }
        }
        return this.openConnection(address, instanceId);
    }

    private openConnection(address: string, instanceId: string): BackendConnection | undefined {
        const target = parseAddress(address);
        if (!target) {
            return undefined;
        }
        this.openedCount += 1;
        const opened: BackendConnection = new BackendConnection(
            connect({ host: target.host, port: target.port, allowHalfOpen: true }),
            {
                requestIdHeader: this.names.requestId,
                memory: this.memory,
                readTurns: this.readTurns,
                onClosed: () => this.connections.delete(opened),
                onInvalid: (reason) => this.onInvalid(reason, instanceId),
            },
        );
        this.connections.add(opened);
        return opened;
    }

    /** Tells a backend server that ended from one that only broke a connection off. */
    private async reasonOfBreak(address: string, request: CallRequest): Promise<"backend-ended" | "broken"> {
        // All requests that break together share one check.
        this.reachabilityCheck ??= this.mayBeReachable(address, request).finally(() => {
            this.reachabilityCheck = undefined;
        });
        return await this.reachabilityCheck ? "broken" : "backend-ended";
    }

    /** False if the backend server refuses a connection. An established one is kept for a later request. */
    private async mayBeReachable(address: string, { instanceId }: CallRequest): Promise<boolean> {
        const connection = this.openConnection(address, instanceId);
        if (!connection) {
            return true;
        }
        let timer: NodeJS.Timeout | undefined;
        const isUndecided = new Promise<boolean>((resolve) => {
            timer = setTimeout(() => {
                resolve(true);
                connection.close();
            }, REACHABILITY_TIMEOUT_MS);
        });
        const isReachable = await Promise.race([isUndecided, connection.waitUntilOpen()]);
        clearTimeout(timer);
        return isReachable;
    }

    private encodeHead(request: CallRequest, timeoutMs: number): Buffer {
        const { account, body, callerService, headers, instanceId, method, target } = request;
        const { names } = this;
        const meshHeaders = [
            names.deadlineMs,
            String(Math.max(1, Math.floor(timeoutMs))),
            names.expectedInstance,
            toHeaderBytes(instanceId),
            names.callerService,
            toHeaderBytes(callerService),
            ...(account === undefined ? [] : [names.account, toHeaderBytes(account)]),
        ];
        const needsLength = body.length > 0 || hasHeader(headers, "content-type") || method === "POST"
            || method === "PUT";
        const length = needsLength ? ["content-length", String(body.length)] : [];
        const head = `${method} ${target} HTTP/1.1\r\n${headerLines([...headers, ...meshHeaders, ...length])}\r\n`;
        return Buffer.from(head, "latin1");
    }

    /**
     * Classifies a response. "Not run" requires the backend server's own statement (the not-executed header or status
     * 421), and a success requires its signature. Status 408, 429 or 503 alone does not prove that the request did not
     * run.
     */
    private classify(response: CallResponse): CallResult {
        const { headers, status } = response;
        if (hasHeader(headers, this.names.notExecuted) || status === MISDIRECTED_STATUS) {
            return { kind: "not-run", reason: "shed", retryAfterMs: 0 };
        }
        const mayClaimNotRun = status === 408 || status === 429 || status === 503;
        if (mayClaimNotRun || !hasHeader(headers, this.names.signature)) {
            return { kind: "unknown", reason: "unsigned" };
        }
        return { kind: "answered", answer: { ...response, headers: connectionHeaders.remove(headers) } };
    }
}
