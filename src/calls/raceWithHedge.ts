import { linkAbort } from "../proxy/linkAbort";
import { CallResult } from "./CallResult";
import { isServerError } from "./isServerError";

type Attempt = (signal: AbortSignal) => Promise<CallResult>;

/** An attempt, and how a second one (a hedge) is made if its response is overdue. */
type HedgedAttempt = {
    readonly first: Attempt;
    /** Called when the response is overdue; returns undefined if no second attempt may be made now. */
    readonly chooseSecond: () => Attempt | undefined;
    readonly delayMs: number;
    /** See `EventLoopTurns.settle`: the response may have arrived before the timer is handled. */
    readonly settle: () => Promise<void> | undefined;
    readonly signal: AbortSignal;
};

const isSuccess = (result: CallResult): boolean => result.kind === "answered" && !isServerError(result.answer.status);

/** Resolves with true after the delay, or with false if the attempt ends first. */
const isOverdue = (
    attempt: Promise<CallResult>,
    delayMs: number,
    settle: HedgedAttempt["settle"],
): Promise<boolean> =>
    new Promise((resolve) => {
        const onOverdue = (): void => {
            const settled = settle();
            if (settled) {
                void settled.then(() => resolve(true));
            }
            else {
                resolve(true);
            }
        };
        const timer = setTimeout(onOverdue, delayMs);
        void attempt.then(() => {
            clearTimeout(timer);
            resolve(false);
        });
    });

/**
 * Returns the better of two results: a success, else an error response, else "unknown" (the request may have run).
 * "Not run" is returned only if it holds for both.
 */
const preferredResult = (left: CallResult, right: CallResult): CallResult => {
    if (isSuccess(left) || isSuccess(right)) {
        return isSuccess(left) ? left : right;
    }
    if (left.kind === "answered" || right.kind === "answered") {
        return left.kind === "answered" ? left : right;
    }
    return left.kind === "unknown" ? left : right;
};

/**
 * Makes an attempt, and a second one if the response is overdue. The first success wins and the other attempt is
 * cancelled; without a success both are awaited.
 */
export const raceWithHedge = async ({ chooseSecond, delayMs, first, settle, signal }: HedgedAttempt) => {
    const links = [linkAbort(signal), linkAbort(signal)];
    const firstResult = first(links[0].signal);
    const second = (await isOverdue(firstResult, delayMs, settle)) && !signal.aborted ? chooseSecond() : undefined;
    if (!second) {
        const result = await firstResult;
        links.forEach(({ unlink }) => unlink());
        return { result, hedged: false };
    }
    const results = [firstResult, second(links[1].signal)];
    const winner = await new Promise<CallResult | undefined>((resolve) => {
        results.forEach((attempt, index) =>
            void attempt.then((result) => {
                if (isSuccess(result)) {
                    resolve(result);
                    links[1 - index].abort();
                }
            })
        );
        void Promise.all(results).then(() => resolve(undefined));
    });
    const result = winner ?? preferredResult(await results[0], await results[1]);
    links.forEach(({ unlink }) => unlink());
    return { result, hedged: true };
};
