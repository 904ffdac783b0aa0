import { linkAbort } from "../proxy/linkAbort";
import { CallResult } from "./CallResult";
import { isServerError } from "./isServerError";

type Attempt = (signal: AbortSignal) => Promise<CallResult>;

/** An attempt, and how a second one is made if its answer is overdue. */
type HedgedRace = {
    readonly first: Attempt;
    /** Called when the first is overdue; undefined if no second attempt may be made now. */
    readonly chooseSecond: () => Attempt | undefined;
    readonly delayMs: number;
    readonly signal: AbortSignal;
};

const isGood = (result: CallResult): boolean => result.kind === "answered" && !isServerError(result.answer.status);

/** Resolves with true once the delay is over, or with false if the attempt ends before. */
const isOverdue = (attempt: Promise<CallResult>, delayMs: number): Promise<boolean> =>
    new Promise((resolve) => {
        const timer = setTimeout(() => resolve(true), delayMs);
        void attempt.then(() => {
            clearTimeout(timer);
            resolve(false);
        });
    });

/** The better of two results: a good answer, else one that may have run, so that "not run" is said only if both say it. */
const better = (left: CallResult, right: CallResult): CallResult => {
    if (isGood(left) || isGood(right)) {
        return isGood(left) ? left : right;
    }
    if (left.kind === "answered" || right.kind === "answered") {
        return left.kind === "answered" ? left : right;
    }
    return left.kind === "unknown" ? left : right;
};

/**
 * Makes an attempt, and a second one if the answer is overdue. The first good answer wins and the other attempt is
 * given up; without one both are waited for.
 */
export const raceWithHedge = async ({ chooseSecond, delayMs, first, signal }: HedgedRace) => {
    const links = [linkAbort(signal), linkAbort(signal)];
    const firstResult = first(links[0].signal);
    const second = (await isOverdue(firstResult, delayMs)) && !signal.aborted ? chooseSecond() : undefined;
    if (!second) {
        const result = await firstResult;
        links.forEach(({ unlink }) => unlink());
        return { result, hedged: false };
    }
    const results = [firstResult, second(links[1].signal)];
    const winner = await new Promise<CallResult | undefined>((resolve) => {
        results.forEach((attempt, index) =>
            void attempt.then((result) => {
                if (isGood(result)) {
                    resolve(result);
                    links[1 - index].abort();
                }
            })
        );
        void Promise.all(results).then(() => resolve(undefined));
    });
    const result = winner ?? better(await results[0], await results[1]);
    links.forEach(({ unlink }) => unlink());
    return { result, hedged: true };
};
