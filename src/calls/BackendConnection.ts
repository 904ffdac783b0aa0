import { HTTPParser } from "http-parser-js";
import { Socket } from "node:net";
import { CallAnswer } from "./CallAnswer";
import { findHeader } from "./findHeader";

/** A request as it goes on the wire, and how its answer is recognized. */
type WireRequest = {
    readonly bytes: Buffer;
    readonly method: string;
    readonly requestId: string;
};

/** How a request on this connection ended. */
type WireResult =
    | { readonly kind: "answered"; readonly answer: CallAnswer; }
    /** No connection was opened: nothing was sent. */
    | { readonly kind: "unreachable"; }
    /** The connection ended, or sent what is no answer. */
    | { readonly kind: "broken"; };

type Pending = {
    readonly request: WireRequest;
    readonly settle: (result: WireResult) => void;
};

type AnswerHead = {
    readonly status: number;
    readonly reason: string;
    readonly headers: readonly string[];
    /** An answer to another request, or an interim answer. */
    readonly skipped: boolean;
};

/** Assumed where the backend server names no idle timeout. */
const DEFAULT_IDLE_MS = 2_000;

/** Part of the backend server's idle timeout for which a connection is used again, so that both do not cross. */
const IDLE_SHARE = 0.6;

const MAXIMUM_ANSWER_BYTES = 16_777_216;

/** One connection to a backend server. It carries one request at a time. */
export class BackendConnection {
    private readonly parser = new HTTPParser(HTTPParser.RESPONSE);
    private pending: Pending | undefined;
    private head: AnswerHead | undefined;
    private chunks: Buffer[] = [];
    private bodyBytes = 0;
    private opened = false;
    private closed = false;
    private reusable = true;
    private idleMs = DEFAULT_IDLE_MS * IDLE_SHARE;
    private idleSinceMs = 0;

    /**
     * @param socket that is opening
     * @param requestIdHeader the lower-case name of the header by which answers name their request
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
        this.socket.on("data", (chunk) => this.receive(chunk));
        this.socket.on("end", () => this.finish());
        this.socket.on("error", () => this.close());
        this.socket.on("close", () => this.close());
        this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.onHead(info);
        this.parser[HTTPParser.kOnBody] = (chunk, offset, length) =>
            this.onBody(chunk.subarray(offset, offset + length));
        this.parser[HTTPParser.kOnMessageComplete] = () => this.onComplete();
    }

    /** True if the connection may carry a request now. */
    public isUsable(nowMs: number): boolean {
        return !this.closed && !this.pending && this.reusable && nowMs - this.idleSinceMs < this.idleMs;
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

    /** Ends the connection. A request in progress counts as broken, or as not sent if it never opened. */
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

    private receive(chunk: Buffer): void {
        // Bytes that come while no request is under way belong to none.
        if (!this.pending || this.parser.execute(chunk) instanceof Error) {
            this.close();
        }
    }

    /**
     * The backend server has ended its side: an answer without a length is complete now. Node also reports the end of
     * a connection that was reset right after its last bytes; an empty write tells the two apart.
     */
    private finish(): void {
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

    private onHead(info: {
        readonly headers: readonly string[];
        readonly statusCode: number;
        readonly statusMessage: string;
        readonly shouldKeepAlive: boolean;
    }): number {
        const { headers, shouldKeepAlive, statusCode, statusMessage } = info;
        // An answer that begins while no request is under way belongs to none.
        const isUnasked = !this.pending;
        const isFramedTwice = findHeader(headers, "transfer-encoding") !== undefined
            && findHeader(headers, "content-length") !== undefined;
        if (isUnasked || isFramedTwice) {
            this.close();
            return 1;
        }
        const interim = statusCode < 200;
        const named = findHeader(headers, this.requestIdHeader);
        const skipped = interim || (named !== undefined && named !== this.pending?.request.requestId);
        this.head = { status: statusCode, reason: statusMessage, headers, skipped };
        this.chunks = [];
        this.bodyBytes = 0;
        if (!interim) {
            this.reusable = shouldKeepAlive;
            this.noteIdleTimeout(findHeader(headers, "keep-alive"));
        }
        const bodiless = this.pending?.request.method === "HEAD" && !skipped;
        return bodiless ? 1 : 0;
    }

    private noteIdleTimeout(keepAlive: string | undefined): void {
        const seconds = Number(/timeout=(\d+)/.exec(keepAlive ?? "")?.[1]);
        if (seconds > 0) {
            this.idleMs = seconds * 1_000 * IDLE_SHARE;
        }
    }

    private onBody(chunk: Buffer): void {
        this.bodyBytes += chunk.length;
        if (this.bodyBytes > MAXIMUM_ANSWER_BYTES) {
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
