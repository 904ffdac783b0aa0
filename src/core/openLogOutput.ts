import pino from "pino";

/** Lines are buffered up to this size before they are written. */
const BUFFER_BYTES = 4_096;

/** Lines beyond this backlog are dropped, so that a slow reader neither blocks the process nor exhausts its memory. */
const MAXIMUM_BACKLOG_BYTES = 1_048_576;

/** Longest time that lines stay in the buffer of a process that logs little. */
const FLUSH_INTERVAL_MS = 250;

/** Opens standard output for log lines. Writing never blocks; lines beyond the backlog are dropped and counted. */
export const openLogOutput = () => {
    const destination = pino.destination({
        fd: 1,
        sync: false,
        minLength: BUFFER_BYTES,
        maxLength: MAXIMUM_BACKLOG_BYTES,
    });
    let dropped = 0;
    destination.on("drop", () => {
        dropped += 1;
    });
    // Without a listener, an error such as a closed pipe would terminate the process.
    destination.on("error", () => {
        dropped += 1;
    });
    const timer = setInterval(() => destination.flush(), FLUSH_INTERVAL_MS);
    timer.unref();
    return {
        write: (line: string) => destination.write(line),
        droppedLines: () => dropped,
        /** Writes the buffered lines synchronously; called before the process exits. */
        close: () => {
            clearInterval(timer);
            destination.flushSync();
        },
    } as const;
};
