import { HTTPParser } from "http-parser-js";
import { Socket } from "node:net";
import { ByteAccumulator } from "../core/ByteAccumulator";
import { BackendConnectionOwner } from "./BackendConnectionOwner";
import { CallResponse } from "./CallResponse";
import { createResponseParser } from "./createResponseParser";
import { findHeader } from "./findHeader";
import { hasValidFraming } from "./hasValidFraming";
import { ResponseCheck } from "./ResponseCheck";

/** An encoded request, and what identifies its response. */
type WireRequest = {
    readonly head: Buffer;
    readonly body: Uint8Array;
    readonly method: string;
    readonly requestId: string;
    /** Asked when the connection opens. If it returns false, the connection is closed and nothing is sent. */
    readonly mayStart?: () => boolean;
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

/** Limit of the body of a response. With its head it must fit into one frame (`TransportLimits.MaximumFrameBytes`). */
const MAXIMUM_RESPONSE_BYTES = 16_515_072;

/** Limit of all bytes that arrive for one request, with heads, interim responses and the framing of chunks. */
const MAXIMUM_WIRE_BYTES = 2 * MAXIMUM_RESPONSE_BYTES;

const MAXIMUM_JOINED_BYTES = 65_536;

/** Node.js reads pieces of up to this size: after one of it, more has most likely arrived already. */
const FULL_PIECE_BYTES = 65_536;

/** One connection to a backend server. It carries one request at a time. */
export class BackendConnection {
    private readonly parser;
    private readonly hasUnparsedBytes: () => boolean;
    private readonly check: ResponseCheck;
    private readonly holding;
    private pending: PendingRequest | undefined;
    private head: ResponseHead | undefined;
    private readonly body = new ByteAccumulator();
    /** Bytes of the bodies of responses to other requests that arrived during this one. */
    private skippedBytes = 0;
    /** All bytes that arrived during this request. */
    private wireBytes = 0;
    private opened = false;
    /** Called once the connection is established, or has failed. */
    private settleOpening: (isOpen: boolean) => void = () => undefined;
    private closed = false;
    private reusable = true;
    private maximumIdleMs = DEFAULT_IDLE_TIMEOUT_MS * IDLE_TIMEOUT_SHARE;
    private idleSinceMs = 0;

    /** @param socket that is connecting */
    public constructor(private readonly socket: Socket, private readonly owner: BackendConnectionOwner) {
        this.check = new ResponseCheck(owner.requestIdHeader);
        this.holding = owner.memory.open(() => this.reject("memory"));
        const { hasUnparsedBytes, parser } = createResponseParser();
        this.parser = parser;
        this.hasUnparsedBytes = hasUnparsedBytes;
        this.socket.setNoDelay(true);
        this.socket.on("connect", () => this.onOpen());
        this.socket.on("data", (chunk) => this.onData(chunk));
        this.socket.on("end", () => this.onEnd());
        this.socket.on("error", () => this.close());
        this.socket.on("close", () => this.close());
        this.parser[HTTPParser.kOnHeadersComplete] = (info) => this.onHead(info);
        this.parser[HTTPParser.kOnBody] = (chunk, offset, length) =>
            this.onBody(chunk.subarray(offset, offset + length));
        this.parser[HTTPParser.kOnMessageComplete] = () => this.onComplete();
    }

    /** True if the connection can carry a request with this id now. */
    public isUsable(nowMs: number, requestId: string): boolean {
        return !this.closed && !this.pending && this.reusable && nowMs - this.idleSinceMs < this.maximumIdleMs
            && this.check.canSend(requestId);
    }

    public get isBusy(): boolean {
        return this.pending !== undefined;
    }

    /** Resolves to whether the connection was established. A connection that has carried no request may be reused. */
    public waitUntilOpen(): Promise<boolean> {
        return new Promise((resolve) => {
            this.settleOpening = resolve;
        });
    }

    public send(request: WireRequest): Promise<WireResult> {
        return new Promise((settle) => {
            if (this.closed) {
                settle({ kind: "unreachable" });
                return;
            }
            this.pending = { request, settle };
            this.skippedBytes = 0;
            this.wireBytes = 0;
            this.check.onSend(request.requestId, request.method);
            if (this.opened) {
                this.write(request);
            }
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
        this.settleOpening(false);
        this.socket.destroy();
        this.body.clear();
        this.holding.resize(0);
        this.settle({ kind: this.opened ? "broken" : "unreachable" });
        this.owner.onClosed();
    }

    private onOpen(): void {
        const { pending } = this;
        if (pending?.request.mayStart?.() === false) {
            this.close();
            return;
        }
        this.opened = true;
        this.idleSinceMs = performance.now();
        this.settleOpening(true);
        if (pending) {
            this.write(pending.request);
        }
    }

    /** Small bodies are sent with their head in one piece; larger ones are not copied. */
    private write({ body, head }: WireRequest): void {
        if (body.length <= MAXIMUM_JOINED_BYTES) {
            this.socket.write(Buffer.concat([head, body]));
            return;
        }
        this.socket.write(head);
        this.socket.write(body);
    }

    private reject(reason: Parameters<BackendConnectionOwner["onInvalid"]>[0]): void {
        if (!this.closed) {
            this.owner.onInvalid(reason);
            this.close();
        }
    }

    private settle(result: WireResult): void {
        const { pending } = this;
        this.pending = undefined;
        pending?.settle(result);
    }

    private onData(chunk: Buffer): void {
        const { readTurns } = this.owner;
        readTurns.begin(performance.now());
        this.wireBytes += chunk.length;
        // Data received while no request is in progress can't be matched to any request.
        if (!this.pending) {
            this.reject("unsolicited");
        }
        else if (this.parser.execute(chunk) instanceof Error) {
            this.reject("malformed");
        }
        else if (this.wireBytes > MAXIMUM_WIRE_BYTES && this.pending) {
            this.reject("too-large");
        }
        else if (chunk.length >= FULL_PIECE_BYTES && !this.closed && readTurns.isOver(performance.now())) {
            this.socket.pause();
            readTurns.wait(() => this.socket.resume());
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
        const { pending } = this;
        // After a response that was complete or rejected, the rest of a piece is not used.
        if (this.closed || !pending) {
            return 1;
        }
        const kind = this.check.classify(statusCode, headers);
        if (kind === "invalid" || !hasValidFraming(headers)) {
            this.reject(kind === "invalid" ? "unmatched" : "malformed");
            return 1;
        }
        const skipped = kind === "skip";
        this.head = { status: statusCode, reason: statusMessage, headers, skipped };
        const isInterim = statusCode < 200;
        if (!isInterim) {
            this.reusable = shouldKeepAlive;
            this.updateIdleTimeout(findHeader(headers, "keep-alive"));
        }
        const isAnswerToHead = pending.request.method === "HEAD" && !skipped;
        return isInterim || isAnswerToHead || statusCode === 204 || statusCode === 304 ? 1 : 0;
    }

    private updateIdleTimeout(keepAlive: string | undefined): void {
        const seconds = Number(/timeout=(\d+)/.exec(keepAlive ?? "")?.[1]);
        if (seconds > 0) {
            this.maximumIdleMs = seconds * 1_000 * IDLE_TIMEOUT_SHARE;
        }
    }

    private onBody(chunk: Buffer): void {
        if (this.closed) {
            return;
        }
        if (this.head?.skipped) {
            this.skippedBytes += chunk.length;
        }
        else {
            this.body.append(chunk);
        }
        if (Math.max(this.skippedBytes, this.body.length) > MAXIMUM_RESPONSE_BYTES) {
            this.reject("too-large");
            return;
        }
        this.holding.resize(this.body.length);
    }

    private onComplete(): void {
        const { head } = this;
        this.head = undefined;
        if (!head || head.skipped || this.closed) {
            return;
        }
        const body = this.body.take();
        this.holding.resize(0);
        this.idleSinceMs = performance.now();
        const { headers, reason, status } = head;
        this.settle({ kind: "answered", answer: { status, reason, headers, body } });
        // Bytes that follow can't be matched to any request.
        if (this.hasUnparsedBytes()) {
            this.reject("unsolicited");
        }
        else if (!this.reusable || !this.check.isReusable) {
            this.close();
        }
    }
}
