/** Resolves after a delay. */
export const pause = (delayMs) => new Promise((done) => setTimeout(done, Math.max(0, delayMs)));
