/**
 * Computes an exponential back-off with equal jitter: half of the step is fixed, the other half random.
 * @param attempt number of failed attempts so far, from 0
 * @param fraction a random number in [0, 1)
 * @returns milliseconds to wait, between half of `min(limitMs, baseMs * 2 ** min(attempt, 16))` and all of it
 */
export const backoffMs = (attempt: number, baseMs: number, limitMs: number, fraction: number): number => {
    const step = Math.min(limitMs, baseMs * 2 ** Math.min(attempt, 16));
    return step / 2 + fraction * (step / 2);
};
