import pino from "pino";
import { formatLogLine } from "./formatLogLine";
import { formatTimestamp } from "./formatTimestamp";
import { HybridClock } from "./HybridClock";

/** The fields of one event. Undefined fields are left out. */
type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where lines go. */
type LogOutput = {
    readonly write: (line: string) => unknown;
};

/** Writes one line of key=value pairs an event, stamped with the hybrid logical clock. */
export class EventLog {
    private readonly logger: pino.Logger;

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

    private stamp(event: string, fields: EventFields): EventFields {
        return { at: formatTimestamp(this.hybridClock.tick()), process: this.processName, event, ...fields };
    }
}
