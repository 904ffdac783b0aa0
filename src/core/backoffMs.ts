/**
 * Exponential back-off with jitter over the upper half of each step.
 * @param attempt number of failures so far, from 0
 * @param fraction a random number in [0, 1)
 * @returns milliseconds to wait, between half of the step and the step
 */
export const backoffMs = (attempt: number, baseMs: number, limitMs: number, fraction: number): number => {
    const step = Math.min(limitMs, baseMs * 2 ** Math.min(attempt, 16));
    return step / 2 + fraction * (step / 2);
};
