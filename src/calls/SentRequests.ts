import { BodySender } from "./BodySender";
import { CallMessage } from "./CallMessage";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { linkResults } from "./linkResults";
import { NodeLink } from "./NodeLink";
import { timingOf } from "./timingOf";
import { transferQueue } from "./transferQueue";

/**
 * The body follows an offered request once the receiver has room for it: in chunks, so that small messages on the same
 * link pass a large one. Requests that are not idempotent are offered too: if the link is cut before the body is sent,
 * they have not run and may be sent elsewhere.
 */
const mustOfferFirst = (request: CallRequest, idempotent: boolean): boolean =>
    !idempotent || request.body.length > transferQueue.chunkBytes;

/** The receiver allows a body of one chunk at once. If it does not within this time, another node is tried. */
const CREDIT_TIMEOUT_MS = 400;
const CREDIT_TIMEOUT_SHARE = 0.3;

const noBody = new Uint8Array(0);

/** Sends requests on links to other nodes and waits for their results. */
export class SentRequests {
    private lastNumber = 0;

    /** @param onSettled is called for a link on which a request no longer waits */
    public constructor(private readonly onSettled: (nodeLink: NodeLink) => void) {}

    /** Sends a request and resolves to its result. */
    public exchange(
        nodeLink: NodeLink,
        request: CallRequest,
        idempotent: boolean,
        signal: AbortSignal,
    ): Promise<CallResult> {
        const { link, outstanding } = nodeLink;
        this.lastNumber += 1;
        const number = this.lastNumber;
        const sentAtMs = performance.now();
        nodeLink.usedAtMs = sentAtMs;
        return new Promise((resolve) => {
            const settle = (result: CallResult): void => {
                outstanding.delete(number);
                this.onSettled(nodeLink);
                clearTimeout(timer);
                clearTimeout(creditTimer);
                clearTimeout(answerTimer);
                signal.removeEventListener("abort", onAbort);
                resolve(result);
            };
            const cancel = (reason: "cancelled" | "timed-out"): void => {
                link.send({ kind: "cancel", number } satisfies CallMessage);
                const hasNotRun = bodySender !== undefined && !bodySender.isComplete;
                settle(
                    hasNotRun
                        ? { kind: "not-run", reason: reason === "timed-out" ? "expired" : reason, retryAfterMs: 0 }
                        : { kind: "unknown", reason },
                );
            };
            const withdrawUnsent = (): void => {
                if (bodySender && !bodySender.isComplete) {
                    link.send({ kind: "cancel", number } satisfies CallMessage);
                    settle(linkResults.down);
                }
            };
            let answerTimer: NodeJS.Timeout | undefined;
            const withdrawUnsentAfter = (withinMs: number): void => {
                clearTimeout(answerTimer);
                answerTimer = setTimeout(withdrawUnsent, withinMs);
            };
            const limitAnswer = (withinMs: number): void => {
                withdrawUnsentAfter(withinMs);
                const timing = timingOf(nodeLink, performance.now());
                link.send({ kind: "answer-within", number, withinMs, timing } satisfies CallMessage);
            };
            const onAbort = (): void => cancel("cancelled");
            const timer = setTimeout(() => cancel("timed-out"), request.remainingMs);
            signal.addEventListener("abort", onAbort, { once: true });
            const bodySender = mustOfferFirst(request, idempotent)
                ? new BodySender(
                    request.body,
                    (chunk) => link.send({ kind: "body", number, chunk } satisfies CallMessage) > 0,
                )
                : undefined;
            const creditTimer = bodySender && request.body.length <= transferQueue.chunkBytes
                ? setTimeout(withdrawUnsent, Math.min(CREDIT_TIMEOUT_MS, request.remainingMs * CREDIT_TIMEOUT_SHARE))
                : undefined;
            outstanding.set(number, { settle, idempotent, route: request.route, sentAtMs, limitAnswer, bodySender });
            if (request.answerWithinMs !== undefined) {
                withdrawUnsentAfter(request.answerWithinMs);
            }
            const timing = timingOf(nodeLink, performance.now());
            const message: CallMessage = bodySender
                ? { kind: "order", number, order: { ...request, body: noBody }, bodyBytes: request.body.length, timing }
                : { kind: "order", number, order: request, timing };
            if (link.send(message) === 0) {
                settle(linkResults.down);
            }
        });
    }
}
