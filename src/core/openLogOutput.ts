import pino from "pino";

/** Lines are gathered up to this size before they are written. */
const BUFFER_BYTES = 4_096;

/** A reader that falls this far behind loses lines, so that logging never blocks or fills the memory. */
const MAXIMUM_BACKLOG_BYTES = 1_048_576;

/** A calm process still shows its lines within this time. */
const FLUSH_INTERVAL_MS = 250;

/** Opens standard output for log lines. Writing never blocks; lines that find no room are dropped and counted. */
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
    // Without a listener, a closed reader would end the process.
    destination.on("error", () => {
        dropped += 1;
    });
    const timer = setInterval(() => destination.flush(), FLUSH_INTERVAL_MS);
    timer.unref();
    return {
        write: (line: string) => destination.write(line),
        droppedLines: () => dropped,
        /** Writes what is left before the process ends. */
        close: () => {
            clearInterval(timer);
            destination.flushSync();
        },
    } as const;
};
