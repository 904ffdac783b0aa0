import { TimelineEvent } from "./TimelineEvent";

const describeFields = (fields: ReadonlyMap<string, string>): string =>
    [...fields].map(([name, value]) => `${name}=${value}`).join(" ");

/** Writes the time line as text, one event a line. */
export const formatTimeline = (events: readonly TimelineEvent[]): string => {
    const processWidth = Math.max(0, ...events.map(({ process }) => process.length));
    const eventWidth = Math.max(0, ...events.map(({ event }) => event.length));
    return events
        .map(({ at, event, fields, process }) =>
            `${at}  ${process.padEnd(processWidth)}  ${event.padEnd(eventWidth)}  ${describeFields(fields)}`.trimEnd()
        )
        .join("\n");
};
