import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { parseLogLine } from "../core/parseLogLine";
import { TimelineEvent } from "./TimelineEvent";
import { TimelineFilter } from "./TimelineFilter";

const HEADER_FIELDS: ReadonlySet<string> = new Set(["at", "level", "process", "event"]);

const toEvent = (fields: ReadonlyMap<string, string>): TimelineEvent => ({
    at: fields.get("at") ?? "",
    process: fields.get("process") ?? "",
    event: fields.get("event") ?? "",
    fields: new Map([...fields].filter(([name]) => !HEADER_FIELDS.has(name))),
});

const matchesFilter = ({ event, fields, process }: TimelineEvent, filter: TimelineFilter): boolean =>
    (!filter.event || filter.event === event)
    && (!filter.process || filter.process === process)
    && (!filter.service || filter.service === fields.get("service"))
    && (!filter.version || filter.version === fields.get("version"))
    && (!filter.requestId || filter.requestId === fields.get("request"));

const readFile = async (
    path: string,
    filter: TimelineFilter,
    onSkipped: () => void,
): Promise<readonly TimelineEvent[]> => {
    const events: TimelineEvent[] = [];
    for await (const line of createInterface({ input: createReadStream(path) })) {
        const fields = parseLogLine(line);
        if (!fields) {
            onSkipped();
        }
        const event = fields && toEvent(fields);
        if (event && matchesFilter(event, filter)) {
            events.push(event);
        }
    }
    return events;
};

/** Orders events by timestamp, and events with equal timestamps by process name. */
const compareEvents = (left: TimelineEvent, right: TimelineEvent): number => {
    if (left.at !== right.at) {
        return left.at < right.at ? -1 : 1;
    }
    return left.process < right.process ? -1 : 1;
};

/**
 * Reads the event logs of all processes and merges them in causal order. Lines that are not events are skipped.
 * @param onSkipped is called for each skipped line
 */
export const readTimeline = async (
    paths: readonly string[],
    filter: TimelineFilter,
    onSkipped: () => void = () => undefined,
): Promise<readonly TimelineEvent[]> => {
    const events = await Promise.all(paths.map((path) => readFile(path, filter, onSkipped)));
    return events.flat().sort(compareEvents);
};
