import { connect } from "node:net";
import { Disposable } from "../core/Disposable";
import { parseAddress } from "../transport/parseAddress";
import { BackendConnection } from "./BackendConnection";
import { CallAnswer } from "./CallAnswer";
import { CallOrder } from "./CallOrder";
import { CallResult } from "./CallResult";
import { connectionHeaders } from "./connectionHeaders";
import { findHeader } from "./findHeader";
import { HeaderNames } from "./HeaderNames";

const headerLines = (headers: readonly string[]): string => {
    let lines = "";
    for (let index = 0; index < headers.length; index += 2) {
        lines += `${headers[index]}: ${headers[index + 1]}\r\n`;
    }
    return lines;
};

const hasHeader = (headers: readonly string[], name: string): boolean => findHeader(headers, name) !== undefined;

/** Sends requests to the backend server of this host over kept connections. */
export class BackendClient implements Disposable {
    private readonly connections = new Set<BackendConnection>();
    private openedCount = 0;

    public constructor(private readonly names: HeaderNames) {}

    /** Connections opened since the start, for the metrics. */
    public get opened(): number {
        return this.openedCount;
    }

    /**
     * Sends a request once and waits for its whole answer. It never sends again by itself.
     * @param timeoutMs time that is left for the answer
     * @param signal aborts when the caller leaves
     */
    public async send(
        address: string,
        order: CallOrder,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<CallResult> {
        const connection = this.take(address);
        if (!connection) {
            return { kind: "not-run", reason: "unreachable", retryAfterMs: 0 };
        }
        let ending: "timed-out" | "cancelled" | undefined;
        const end = (reason: "timed-out" | "cancelled"): void => {
            ending ??= reason;
            connection.close();
        };
        const timer = setTimeout(() => end("timed-out"), timeoutMs);
        const onAbort = (): void => end("cancelled");
        signal.addEventListener("abort", onAbort, { once: true });
        const bytes = this.encode(order, timeoutMs);
        const result = await connection.send({ bytes, method: order.method, requestId: order.requestId });
        clearTimeout(timer);
        signal.removeEventListener("abort", onAbort);
        switch (result.kind) {
            case "answered":
                return this.judge(result.answer);
            case "unreachable":
                return { kind: "not-run", reason: "unreachable", retryAfterMs: 0 };
            case "broken":
                if (ending === "timed-out") {
                    this.closeIdle();
                }
                return { kind: "unknown", reason: ending ?? "broken" };
        }
    }

    /** Closes connections that carry no request, for example because one to the same backend server fell silent. */
    public closeIdle(): void {
        [...this.connections].filter(({ isBusy }) => !isBusy).forEach((connection) => connection.close());
    }

    public dispose(): void {
        [...this.connections].forEach((connection) => connection.close());
    }

    /** The most recently used connection goes first, so that surplus ones time out. */
    private take(address: string): BackendConnection | undefined {
        const nowMs = performance.now();
        for (const connection of [...this.connections].reverse()) {
            if (connection.isUsable(nowMs)) {
                this.connections.delete(connection);
                this.connections.add(connection);
                return connection;
            }
        }
        const target = parseAddress(address);
        if (!target) {
            return undefined;
        }
        this.openedCount += 1;
        const opened: BackendConnection = new BackendConnection(
            connect({ host: target.host, port: target.port, allowHalfOpen: true }),
            this.names.requestId,
            () => this.connections.delete(opened),
        );
        this.connections.add(opened);
        return opened;
    }

    private encode(order: CallOrder, timeoutMs: number): Buffer {
        const { body, callerService, headers, instanceId, method, target } = order;
        const { names } = this;
        const own = [
            names.deadlineMs,
            String(Math.max(1, Math.floor(timeoutMs))),
            names.expectedInstance,
            instanceId,
            names.callerService,
            callerService,
        ];
        const needsLength = body.length > 0 || hasHeader(headers, "content-type") || method === "POST"
            || method === "PUT";
        const length = needsLength ? ["content-length", String(body.length)] : [];
        const head = `${method} ${target} HTTP/1.1\r\n${headerLines([...headers, ...own, ...length])}\r\n`;
        return Buffer.concat([Buffer.from(head, "latin1"), body]);
    }

    /** Only the backend server's own word counts for "not run", and only its signature for a success. */
    private judge(answer: CallAnswer): CallResult {
        const { headers, status } = answer;
        if (hasHeader(headers, this.names.notExecuted) || status === 421) {
            return { kind: "not-run", reason: "shed", retryAfterMs: 0 };
        }
        const promisesNotRun = status === 408 || status === 429 || status === 503;
        if (promisesNotRun || !hasHeader(headers, this.names.signature)) {
            return { kind: "unknown", reason: "unsigned" };
        }
        return { kind: "answered", answer: { ...answer, headers: connectionHeaders.remove(headers) } };
    }
}
