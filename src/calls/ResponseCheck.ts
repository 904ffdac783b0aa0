import { findHeader } from "./findHeader";

/** A request is sent on a connection that carried fewer than this, so that their ids take bounded memory. */
const MAXIMUM_REQUESTS = 1_000;

/** Interim responses, and responses to other requests, that one request may get before its own. */
const MAXIMUM_SKIPPED = 16;

/**
 * Tells which responses on a connection belong to which request. A backend server may send a second copy of a response
 * at any later time, also when the connection is in use again.
 */
export class ResponseCheck {
    private readonly sentIds = new Set<string>();
    private currentId = "";
    private skipped = 0;
    private hasSentHead = false;

    /** @param requestIdHeader lower-case name of the response header that repeats the request id */
    public constructor(private readonly requestIdHeader: string) {}

    /** False once the connection can carry no further request: the last one had no id, or it has carried many. */
    public get isReusable(): boolean {
        return !this.sentIds.has("") && this.sentIds.size < MAXIMUM_REQUESTS;
    }

    /**
     * True if the response to a request with this id can be told from those to the requests before it: a request without
     * an id, and a second one with the same id, need a connection of their own.
     */
    public canSend(requestId: string): boolean {
        return this.sentIds.size === 0 || requestId !== "" && !this.sentIds.has(requestId) && this.isReusable;
    }

    public onSend(requestId: string, method: string): void {
        this.hasSentHead ||= method === "HEAD";
        this.currentId = requestId;
        this.sentIds.add(requestId);
        this.skipped = 0;
    }

    /** Decides on the head of a response. */
    public classify(status: number, headers: readonly string[]): "own" | "skip" | "invalid" {
        if (status === 101) {
            return "invalid";
        }
        if (status < 200) {
            return this.skip();
        }
        const isFirst = this.sentIds.size === 1;
        const responseId = findHeader(headers, this.requestIdHeader);
        if (responseId === this.currentId || isFirst && (responseId === undefined || this.currentId === "")) {
            return "own";
        }
        // The response to a HEAD request states the length of a body that it does not have.
        return responseId === undefined || this.hasSentHead ? "invalid" : this.skip();
    }

    private skip(): "skip" | "invalid" {
        this.skipped += 1;
        return this.skipped > MAXIMUM_SKIPPED ? "invalid" : "skip";
    }
}
