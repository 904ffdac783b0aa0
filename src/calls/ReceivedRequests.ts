import { AnswerDeadline } from "./AnswerDeadline";
import { BodyReceiver } from "./BodyReceiver";
import { CallMessage } from "./CallMessage";
import { CallReceiver } from "./CallReceiver";
import { CallResult } from "./CallResult";

/** Dependencies of the requests that other nodes send. */
type ReceivedRequestsOptions = {
    readonly receiver: CallReceiver;
    readonly bodyReceiver: BodyReceiver;
};

/** A request from another node. */
type RunningRequest = {
    readonly controller: AbortController;
    readonly answerDeadline: AnswerDeadline;
    /** Takes the chunks of a large body while it is being received. */
    addChunk: ((chunk: Uint8Array) => void) | undefined;
};

/** Runs the requests that other nodes send to this one. */
export class ReceivedRequests {
    private readonly runningByPeer = new Map<object, Map<number, RunningRequest>>();

    public constructor(private readonly options: ReceivedRequestsOptions) {}

    /** Handles a message of the peer `key`. */
    public serve(
        key: object,
        from: string,
        send: (message: CallMessage) => void,
        message: CallMessage,
    ): void | Promise<void> {
        const running = this.runningByPeer.get(key) ?? new Map<number, RunningRequest>();
        this.runningByPeer.set(key, running);
        if (message.kind === "ping") {
            send({ kind: "pong" });
            return;
        }
        if (message.kind === "cancel") {
            running.get(message.number)?.controller.abort();
            return;
        }
        if (message.kind === "answer-within") {
            running.get(message.number)?.answerDeadline.limitTo(message.withinMs);
            return;
        }
        if (message.kind === "body") {
            running.get(message.number)?.addChunk?.(message.chunk);
            return;
        }
        if (message.kind === "order") {
            return this.runRequest(from, running, send, message);
        }
    }

    /** Cancels the requests of a peer whose connection closed. */
    public cancelAll(key: object): void {
        this.runningByPeer.get(key)?.forEach(({ controller }) => controller.abort());
        this.runningByPeer.delete(key);
    }

    private async runRequest(
        from: string,
        running: Map<number, RunningRequest>,
        send: (message: CallMessage) => void,
        message: CallMessage & { readonly kind: "order"; },
    ): Promise<void> {
        const { number, order: request } = message;
        const controller = new AbortController();
        const { receiver } = this.options;
        const answerDeadline = receiver.createAnswerDeadline(request);
        const runningRequest: RunningRequest = { controller, answerDeadline, addChunk: undefined };
        running.set(number, runningRequest);
        const result = message.bodyBytes === undefined
            ? await receiver.receive(from, request, controller.signal, answerDeadline)
            : await this.receiveWithBody(from, runningRequest, send, message, message.bodyBytes);
        running.delete(number);
        if (!controller.signal.aborted) {
            send({ kind: "result", number, result, load: receiver.loadFor(from, request.route) });
        }
    }

    /** Receives the body of a request, and then the request. */
    private async receiveWithBody(
        from: string,
        runningRequest: RunningRequest,
        send: (message: CallMessage) => void,
        { number, order: request }: CallMessage & { readonly kind: "order"; },
        bodyBytes: number,
    ): Promise<CallResult> {
        const { bodyReceiver, receiver } = this.options;
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
        return receiver.receive(
            from,
            {
                ...request,
                body,
                remainingMs: request.remainingMs - waitedMs,
                targetRemainingMs: request.targetRemainingMs - waitedMs,
            },
            signal,
            answerDeadline,
        );
    }
}
