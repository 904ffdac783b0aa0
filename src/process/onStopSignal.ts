/**
 * Calls `stop` once, on the first SIGTERM or SIGINT, and exits with code 0 when it has settled.
 * @returns a function that starts the same shutdown without a signal
 */
export const onStopSignal = (stop: () => Promise<void>): () => void => {
    let stopping = false;
    const stopOnce = (): void => {
        if (stopping) {
            return;
        }
        stopping = true;
        void stop().finally(() => process.exit(0));
    };
    process.on("SIGTERM", stopOnce);
    process.on("SIGINT", stopOnce);
    return stopOnce;
};
