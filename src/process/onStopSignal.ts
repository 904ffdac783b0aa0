/** Calls `stop` once on SIGTERM or SIGINT and ends the process when it is done. */
export const onStopSignal = (stop: () => Promise<void>): () => void => {
    let stopping = false;
    const run = (): void => {
        if (stopping) {
            return;
        }
        stopping = true;
        void stop().finally(() => process.exit(0));
    };
    process.on("SIGTERM", run);
    process.on("SIGINT", run);
    return run;
};
