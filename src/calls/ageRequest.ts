import { CallRequest } from "./CallRequest";

/** Returns a request with its times once so much more time has passed. */
export const ageRequest = (request: CallRequest, elapsedMs: number): CallRequest => {
    const { answerWithinMs, remainingMs, targetRemainingMs, unconfirmedMs } = request;
    return {
        ...request,
        ...(answerWithinMs !== undefined && { answerWithinMs: Math.max(0, answerWithinMs - elapsedMs) }),
        ...(unconfirmedMs !== undefined && { unconfirmedMs: unconfirmedMs + elapsedMs }),
        remainingMs: remainingMs - elapsedMs,
        targetRemainingMs: targetRemainingMs - elapsedMs,
    };
};
