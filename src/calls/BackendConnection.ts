import { HTTPParser } from "http-parser-js";
import { Socket } from "node:net";
import { CallResponse } from "./CallResponse";
import { findHeader } from "./findHeader";

/** An encoded request, and what identifies its response. */
type WireRequest = {
    readonly bytes: Buffer;
    readonly method: string;
    readonly requestId: string;
};

/** How a request on this connection ended. */
type WireResult =
    | { readonly kind: "answered"; readonly answer: CallResponse; }
    /** The connection was never established, so nothing was sent. */
    | { readonly kind: "unreachable"; }
    /** The connection ended before a complete response, or the data was not a valid HTTP response. */
    | { readonly kind: "broken"; };

type PendingRequest = {
    readonly request: WireRequest;
    readonly settle: (result: WireResult) => void;
};

type ResponseHead = {
    readonly status: number;
    readonly reason: string;
    readonly headers: readonly string[];
    /** True for a response to another request and for an interim (1xx) response. */
    readonly skipped: boolean;
};

/** Used if the backend server states no idle timeout in a `Keep-Alive` header. */
const DEFAULT_IDLE_TIMEOUT_MS = 2_000;

/**
 * Share of the backend server's idle timeout after which a connection is not reused, so that the server does not close
 * it just as a new request is sent.
 */
const IDLE_TIMEOUT_SHARE = 0.6;

const MAXIMUM_RESPONSE_BYTES = 16_777_216;

/** One connection to a backend server. It carries one request at a time. */
export class BackendConnection {
    private readonly parser = new HTTPParser(HTTPParser.RESPONSE);
    private pending: PendingRequest | undefined;
    private head: ResponseHead | undefined;
    private chunks: Buffer[] = [];
    private bodyBytes = 0;
    private opened = false;
    private closed = false;
    private reusable = true;
    private maximumIdleMs = DEFAULT_IDLE_TIMEOUT_MS * IDLE_TIMEOUT_SHARE;
    private idleSinceMs = 0;

    /**
     * @param socket that is connecting
     * @param requestIdHeader lower-case name of the response header that repeats the request id
     * @param onClosed is called once, when the connection can't be used any more
     */
    public constructor(
        private readonly socket: Socket,
        private readonly requestIdHeader: string,
        private readonly onClosed: () => void,
    ) {
        this.socket.setNoDelay(true);
        this.socket.on("connect", () => {
            this.opened = true;
        });
        this.socket.on("data", (chunk) => this.onData(chunk));
        this.socket.on("end", () => this.onEnd());
        this.socket.on("error", () => this.close());
        this.socket.on("close", () => this.close());
        this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.onHead(info);
        this.parser[HTTPParser.kOnBody] = (chunk, offset, length) =>
            this.onBody(chunk.subarray(offset, offset + length));
        this.parser[HTTPParser.kOnMessageComplete] = () => this.onComplete();
    }

    /** True if the connection can carry a new request now. */
    public isUsable(nowMs: number): boolean {
        return !this.closed && !this.pending && this.reusable && nowMs - this.idleSinceMs < this.maximumIdleMs;
    }

    public get isBusy(): boolean {
        return this.pending !== undefined;
    }

    public send(request: WireRequest): Promise<WireResult> {
        return new Promise((settle) => {
            if (this.closed) {
                settle({ kind: "unreachable" });
                return;
            }
            this.pending = { request, settle };
            this.socket.write(request.bytes);
        });
    }

    /**
     * Closes the connection. A request in progress ends as "broken", or as "unreachable" if the connection was never
     * established.
     */
    public close(): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.socket.destroy();
        this.settle({ kind: this.opened ? "broken" : "unreachable" });
        this.onClosed();
    }

    private settle(result: WireResult): void {
        const { pending } = this;
        this.pending = undefined;
        pending?.settle(result);
    }

    private onData(chunk: Buffer): void {
        // Data received while no request is in progress can't be matched to any request.
        if (!this.pending || this.parser.execute(chunk) instanceof Error) {
            this.close();
        }
    }

    /**
     * Handles the end of the backend server's side, which completes a response without a length. Node.js also emits
     * "end" for a connection that was reset right after its last bytes; an empty write fails in that case and tells the
     * two apart.
     */
    private onEnd(): void {
        if (!this.pending || !this.head) {
            this.close();
            return;
        }
        this.socket.write("", (error) => {
            if (!error && !this.closed) {
                this.parser.finish();
            }
            this.close();
        });
    }

    /** Handles the head of a response. Returns 1 to make the parser skip the body, else 0. */
    private onHead(info: {
        readonly headers: readonly string[];
        readonly statusCode: number;
        readonly statusMessage: string;
        readonly shouldKeepAlive: boolean;
    }): number {
        const { headers, shouldKeepAlive, statusCode, statusMessage } = info;
        // A response that begins while no request is in progress can't be matched to any request.
        const isUnsolicited = !this.pending;
        const hasConflictingFraming = findHeader(headers, "transfer-encoding") !== undefined
            && findHeader(headers, "content-length") !== undefined;
        if (isUnsolicited || hasConflictingFraming) {
            this.close();
            return 1;
        }
        const isInterim = statusCode < 200;
        const responseRequestId = findHeader(headers, this.requestIdHeader);
        const skipped = isInterim
            || (responseRequestId !== undefined && responseRequestId !== this.pending?.request.requestId);
        this.head = { status: statusCode, reason: statusMessage, headers, skipped };
        this.chunks = [];
        this.bodyBytes = 0;
        if (!isInterim) {
            this.reusable = shouldKeepAlive;
            this.updateIdleTimeout(findHeader(headers, "keep-alive"));
        }
        const isBodiless = this.pending?.request.method === "HEAD" && !skipped;
        return isBodiless ? 1 : 0;
    }

    private updateIdleTimeout(keepAlive: string | undefined): void {
        const seconds = Number(/timeout=(\d+)/.exec(keepAlive ?? "")?.[1]);
        if (seconds > 0) {
            this.maximumIdleMs = seconds * 1_000 * IDLE_TIMEOUT_SHARE;
        }
    }

    private onBody(chunk: Buffer): void {
        this.bodyBytes += chunk.length;
        if (this.bodyBytes > MAXIMUM_RESPONSE_BYTES) {
            this.close();
            return;
        }
        this.chunks.push(Buffer.from(chunk));
    }

    private onComplete(): void {
        const { head } = this;
        this.head = undefined;
        if (!head || head.skipped || this.closed) {
            return;
        }
        const body = this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks);
        this.chunks = [];
        this.idleSinceMs = performance.now();
        const { headers, reason, status } = head;
        this.settle({ kind: "answered", answer: { status, reason, headers, body } });
        if (!this.reusable) {
            this.close();
        }
    }
}
