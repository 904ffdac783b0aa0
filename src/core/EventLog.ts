import pino from "pino";
import { formatLogLine } from "./formatLogLine";
import { formatTimestamp } from "./formatTimestamp";
import { HybridClock } from "./HybridClock";
import { logBudgets } from "./logBudgets";

/** The fields of one event. Undefined fields are left out. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where lines go. */
type LogOutput = {
    readonly write: (line: string) => unknown;
};

/** Lines of one event a second. A few dozen requests show what goes wrong; the counters tell how often. */
const LINES_PER_SECOND = 40;

/** Writes one line of key=value pairs an event, stamped with the hybrid logical clock. */
export class EventLog {
    private readonly logger: pino.Logger;
    private budget = logBudgets.initial;

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

    /** Writes a line about one of many requests, unless its event has used up its lines of this second. */
    public request(event: string, fields: EventFields): void {
        const { allowed, state, summary } = logBudgets.take(this.budget, event, performance.now(), LINES_PER_SECOND);
        this.budget = state;
        summary.forEach((lines, name) => this.warn("lines-left-out", { name, lines }));
        if (allowed) {
            this.info(event, fields);
        }
    }

    private stamp(event: string, fields: EventFields): EventFields {
        return { at: formatTimestamp(this.hybridClock.tick()), process: this.processName, event, ...fields };
    }
}
