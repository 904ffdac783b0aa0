import { Clock } from "../core/Clock";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { ageRequest } from "./ageRequest";
import { AnswerDeadline } from "./AnswerDeadline";
import { BodyReceiver } from "./BodyReceiver";
import { callerPresence } from "./callerPresence";
import { CallMessage } from "./CallMessage";
import { CallReceiver } from "./CallReceiver";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { LinkTransit } from "./LinkTransit";

/** Dependencies of the requests that other nodes send. */
type ReceivedRequestsOptions = {
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "settle" | "sincePolledMs" | "unreadMs">;
    readonly receiver: CallReceiver;
    readonly bodyReceiver: BodyReceiver;
    /** Called with the time for which a request from a node was under way. */
    readonly onReceived: (from: string, request: CallRequest, ageMs: number) => void;
};

/** A request from another node. */
type RunningRequest = {
    readonly controller: AbortController;
    readonly answerDeadline: AnswerDeadline;
    /** Takes the chunks of a large body while it is being received. */
    addChunk: ((chunk: Uint8Array) => void) | undefined;
};

/** A connection that another node opened. */
type Peer = {
    readonly running: Map<number, RunningRequest>;
    readonly transit: LinkTransit;
};

const cancelled: CallResult = { kind: "not-run", reason: "cancelled", retryAfterMs: 0 };
const expired: CallResult = { kind: "not-run", reason: "expired", retryAfterMs: 0 };

/** Runs the requests that other nodes send to this one. */
export class ReceivedRequests {
    private readonly peers = new Map<object, Peer>();

    public constructor(private readonly options: ReceivedRequestsOptions) {}

    /** Handles a message of the peer `key`. */
    public serve(
        key: object,
        from: string,
        send: (message: CallMessage) => void,
        message: CallMessage,
    ): void | Promise<void> {
        const peer = this.peers.get(key) ?? { running: new Map(), transit: new LinkTransit(this.options) };
        this.peers.set(key, peer);
        const { running } = peer;
        if (message.kind === "ping") {
            send({ kind: "pong" });
            return;
        }
        if (message.kind === "cancel") {
            running.get(message.number)?.controller.abort();
            return;
        }
        if (message.kind === "answer-within") {
            const withinMs = message.withinMs - peer.transit.ageMs(message.timing);
            running.get(message.number)?.answerDeadline.limitTo(withinMs);
            return;
        }
        if (message.kind === "body") {
            running.get(message.number)?.addChunk?.(message.chunk);
            return;
        }
        if (message.kind === "order") {
            const ageMs = Math.ceil(peer.transit.ageMs(message.timing));
            this.options.onReceived(from, message.order, ageMs);
            return this.runRequest(from, running, send, { ...message, order: ageRequest(message.order, ageMs) });
        }
    }

    /** Cancels the requests of a peer whose connection closed. */
    public cancelAll(key: object): void {
        this.peers.get(key)?.running.forEach(({ controller }) => controller.abort());
        this.peers.delete(key);
    }

    private async runRequest(
        from: string,
        running: Map<number, RunningRequest>,
        send: (message: CallMessage) => void,
        message: CallMessage & { readonly kind: "order"; },
    ): Promise<void> {
        const { clock, receiver } = this.options;
        const { number, order: request } = message;
        const readAtMs = clock.monotonicMs();
        const controller = new AbortController();
        const answerDeadline = receiver.createAnswerDeadline(request);
        const runningRequest: RunningRequest = { controller, answerDeadline, addChunk: undefined };
        running.set(number, runningRequest);
        // Cancellations that have arrived with the request take effect before it runs.
        await this.options.turns.settle();
        const result = controller.signal.aborted
            ? cancelled
            : await this.runUnlessExpired(from, runningRequest, send, message, clock.monotonicMs() - readAtMs);
        running.delete(number);
        if (!controller.signal.aborted) {
            const load = receiver.loadFor(from, request.route);
            send({ kind: "result", number, result, load, sentAtMs: Math.round(clock.monotonicMs()) });
        }
    }

    private async runUnlessExpired(
        from: string,
        runningRequest: RunningRequest,
        send: (message: CallMessage) => void,
        message: CallMessage & { readonly kind: "order"; },
        waitedMs: number,
    ): Promise<CallResult> {
        const { answerDeadline, controller: { signal } } = runningRequest;
        const request = ageRequest(message.order, Math.ceil(waitedMs));
        if (request.remainingMs <= 0) {
            return expired;
        }
        return message.bodyBytes === undefined
            ? this.options.receiver.receive(from, request, signal, answerDeadline)
            : this.receiveWithBody(from, runningRequest, send, { ...message, order: request }, message.bodyBytes);
    }

    /** Receives the body of a request, and then the request. */
    private async receiveWithBody(
        from: string,
        runningRequest: RunningRequest,
        send: (message: CallMessage) => void,
        { number, order: request }: CallMessage & { readonly kind: "order"; },
        bodyBytes: number,
    ): Promise<CallResult> {
        const { bodyReceiver, receiver, turns } = this.options;
        const { answerDeadline, controller: { signal } } = runningRequest;
        const refusal = receiver.refusalOf(from, request, answerDeadline);
        if (refusal) {
            return refusal;
        }
        const startedAtMs = performance.now();
        const body = await bodyReceiver.receive({
            request: { ...request, remainingMs: receiver.remainingMs(request, answerDeadline) },
            expectedBytes: bodyBytes,
            runMs: receiver.expectedMs(request),
            sendCredit: (bytes) => send({ kind: "credit", number, bytes }),
            onStarted: (addChunk) => {
                runningRequest.addChunk = addChunk;
            },
            signal,
        });
        runningRequest.addChunk = undefined;
        if (!(body instanceof Uint8Array)) {
            return body;
        }
        const waitedMs = Math.ceil(performance.now() - startedAtMs);
        try {
            const { unconfirmedMs } = callerPresence.afterWait(request, turns.sincePolledMs);
            const received = { ...ageRequest(request, waitedMs), unconfirmedMs, body };
            return await receiver.receive(from, received, signal, answerDeadline);
        }
        finally {
            bodyReceiver.release(bodyBytes);
        }
    }
}
