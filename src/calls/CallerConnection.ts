import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Clock } from "../core/Clock";
import { lingerOnClose } from "./lingerOnClose";
import { pipelineOrder } from "./pipelineOrder";

/** A request that was read from the connection. */
type ReadRequest = {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** True if it may run beside other requests of this connection. */
    readonly mayRunBeside: boolean;
    /** Called when it may run. The signal aborts if the connection closes before the response was sent. */
    readonly run: (signal: AbortSignal) => void;
};

type Exchange = ReadRequest & {
    readonly controller: AbortController;
    /** Sends the response, once it is complete. */
    write: ((isLast: boolean) => void) | undefined;
};

/** A caller that sends more requests than this after the connection has ended is not waited for. */
const MAXIMUM_UNREAD_REQUESTS = 500;

/**
 * The connection of a caller, who may send requests before earlier ones are answered. Responses are sent in the order of
 * the requests. None is passed to Node's HTTP server before its turn: a response that waits there holds memory and does
 * not learn that the connection closed.
 */
export class CallerConnection {
    private readonly exchanges = new Map<number, Exchange>();
    private order = pipelineOrder.empty;
    private lastKey = 0;
    private draining = false;
    /** True once a response was chosen as the last one: what is read from then on counts as not read. */
    private ending = false;
    private writing = false;
    private stopped = false;
    private unreadRequests = 0;
    private lastUsed: number;

    public constructor(private readonly socket: Socket, private readonly clock: Clock) {
        this.lastUsed = clock.monotonicMs();
        lingerOnClose(socket);
        socket.on("close", () => this.onClosed());
        // Node's HTTP server then ends its side as well: no response can be sent any more.
        socket.on("end", () => this.onClosed());
        // Reading the body of a request makes Node's HTTP server read from the connection again.
        socket.on("resume", () => this.updateReading());
    }

    /** Requests that were read and not yet answered. */
    public get activeRequests(): number {
        return this.exchanges.size;
    }

    /** When the connection was opened, or its last request was answered. */
    public get lastUsedMs(): number {
        return this.lastUsed;
    }

    /** Requests that wait until earlier ones have been answered. */
    public get waitingRequests(): number {
        return this.order.filter(({ hasStarted }) => !hasStarted).length;
    }

    /** Ends the connection after the responses to the requests that have been read. */
    public drain(): void {
        this.draining = true;
    }

    /** Ends the connection after the responses to the requests that have been read; none is read any more. */
    public endAfterCurrent(): void {
        this.ending = true;
    }

    /** Adds a request. After the last response was chosen it counts as not read: it does not run, and gets no response. */
    public add(read: ReadRequest): void {
        if (this.ending || this.socket.destroyed) {
            this.discard(read.request);
            return;
        }
        this.lastKey += 1;
        this.exchanges.set(this.lastKey, { ...read, controller: new AbortController(), write: undefined });
        this.order = pipelineOrder.add(this.order, this.lastKey, read.mayRunBeside);
        this.startRequests();
    }

    /**
     * Sends a response when its turn has come.
     * @param bytes size of the response
     * @param write sends it; its argument is true if the connection ends with it
     */
    public answer(response: ServerResponse, bytes: number, write: (isLast: boolean) => void): void {
        for (const [key, exchange] of this.exchanges) {
            if (exchange.response === response) {
                exchange.write = write;
                this.order = pipelineOrder.hold(this.order, key, bytes);
            }
        }
        this.writeNext();
    }

    /**
     * Handles bytes that are no valid request. The requests before them are still answered. Returns true if there are
     * none, so that a response to the bytes may be sent.
     */
    public stopReading(): boolean {
        const isIncomplete = [...this.exchanges.values()].some(({ request }) => !request.complete);
        if (!this.socket.writable || isIncomplete) {
            this.socket.destroy();
            return false;
        }
        const isFirst = this.exchanges.size === 0 && !this.ending;
        this.ending = true;
        return isFirst;
    }

    private discard(request: IncomingMessage): void {
        this.unreadRequests += 1;
        if (this.unreadRequests > MAXIMUM_UNREAD_REQUESTS) {
            this.socket.destroy();
        }
        request.resume();
    }

    private startRequests(): void {
        for (const key of pipelineOrder.startable(this.order)) {
            this.order = pipelineOrder.start(this.order, key);
            const exchange = this.exchanges.get(key);
            exchange?.run(exchange.controller.signal);
        }
        this.updateReading();
    }

    private updateReading(): void {
        const isFull = pipelineOrder.isFull(this.order);
        if (isFull) {
            this.socket.pause();
        }
        else if (this.stopped) {
            this.socket.resume();
        }
        this.stopped = isFull;
    }

    private writeNext(): void {
        const [first] = this.exchanges;
        if (!first || this.writing) {
            return;
        }
        const [key, { response, write }] = first;
        if (!write) {
            return;
        }
        this.writing = true;
        // Of the requests read so far, the connection ends with the response to the last one.
        this.ending ||= this.draining;
        response.once("finish", () => {
            this.writing = false;
            this.end(key);
            this.startRequests();
            this.writeNext();
        });
        write(this.ending && this.exchanges.size === 1);
    }

    private end(key: number): void {
        this.lastUsed = this.clock.monotonicMs();
        this.order = pipelineOrder.remove(this.order, key);
        this.exchanges.delete(key);
    }

    private onClosed(): void {
        for (const [key, { controller }] of this.exchanges) {
            this.end(key);
            controller.abort();
        }
    }
}
