import { TimelineEvent } from "./TimelineEvent";

const formatFields = (fields: ReadonlyMap<string, string>): string =>
    [...fields].map(([name, value]) => `${name}=${value}`).join(" ");

/** Formats events as text with aligned columns, one line per event. */
export const formatTimeline = (events: readonly TimelineEvent[]): string => {
    const processWidth = Math.max(0, ...events.map(({ process }) => process.length));
    const eventWidth = Math.max(0, ...events.map(({ event }) => event.length));
    return events
        .map(({ at, event, fields, process }) =>
            `${at}  ${process.padEnd(processWidth)}  ${event.padEnd(eventWidth)}  ${formatFields(fields)}`.trimEnd()
        )
        .join("\n");
};
