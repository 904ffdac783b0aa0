/** Resolves after the given delay. */
export const pause = (delayMs: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, delayMs));
