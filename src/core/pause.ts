/** Resolves after the given time. */
export const pause = (delayMs: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, delayMs));
