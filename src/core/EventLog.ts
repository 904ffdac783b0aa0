import pino from "pino";
import { formatLogLine } from "./formatLogLine";
import { formatTimestamp } from "./formatTimestamp";
import { HybridClock } from "./HybridClock";
import { logRateLimit } from "./logRateLimit";

/** The fields of one event. Undefined fields are not written. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** The destination of log lines. */
type LogOutput = {
    readonly write: (line: string) => unknown;
};

/** Lines per second for each event. A few dozen requests show what goes wrong; the metrics count how often. */
const MAXIMUM_LINES_PER_SECOND = 40;

/** Writes one line of key=value pairs per event, with a timestamp of the hybrid logical clock. */
export class EventLog {
    private readonly logger: pino.Logger;
    private rateLimit = logRateLimit.initial;

    public constructor(
        private readonly processName: string,
        private readonly hybridClock: HybridClock,
        output: LogOutput = process.stdout,
        level = "info",
    ) {
        const options = { base: undefined, timestamp: false, level };
        this.logger = pino(options, { write: (line: string) => void output.write(formatLogLine(line)) });
    }

    public info(event: string, fields: EventFields = {}): void {
        this.logger.info(this.stamp(event, fields));
    }

    public warn(event: string, fields: EventFields = {}): void {
        this.logger.warn(this.stamp(event, fields));
    }

    public error(event: string, fields: EventFields = {}): void {
        this.logger.error(this.stamp(event, fields));
    }

    /**
     * Writes a line about a request, rate-limited by event. The first call in a later second also writes how many lines
     * of each event were suppressed.
     */
    public infoRateLimited(event: string, fields: EventFields): void {
        const { allowed, state, suppressedLines } = logRateLimit.take(
            this.rateLimit,
            event,
            performance.now(),
            MAXIMUM_LINES_PER_SECOND,
        );
        this.rateLimit = state;
        suppressedLines.forEach((lines, name) => this.warn("lines-left-out", { name, lines }));
        if (allowed) {
            this.info(event, fields);
        }
    }

    private stamp(event: string, fields: EventFields): EventFields {
        return { at: formatTimestamp(this.hybridClock.tick()), process: this.processName, event, ...fields };
    }
}
