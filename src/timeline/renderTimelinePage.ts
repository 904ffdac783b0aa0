import { escapeHtml } from "./escapeHtml";
import { TimelineEvent } from "./TimelineEvent";

/** A hybrid logical clock timestamp begins with an ISO 8601 time in UTC with milliseconds, of this length. */
const ISO_TIMESTAMP_LENGTH = 24;
const MS_PER_SECOND = 1_000;
const ROW_HEIGHT_PX = 26;
const LABEL_WIDTH_PX = 140;
const PLOT_WIDTH_PX = 1_000;
/** Events whose name contains one of these words are marked in red. */
const WARNING_EVENT = /failed|rejected|suppressed|taken-back|late|closed/;

const wallMs = ({ at }: TimelineEvent): number => Date.parse(at.slice(0, ISO_TIMESTAMP_LENGTH));

const colourOf = ({ event }: TimelineEvent): string => {
    if (WARNING_EVENT.test(event)) {
        return "#b3261e";
    }
    return event.startsWith("configuration") ? "#2e7d32" : "#1f5fa8";
};

const formatEvent = ({ at, event, fields, process }: TimelineEvent): string =>
    [at, process, event, ...[...fields].map(([name, value]) => `${name}=${value}`)].join(" ");

/**
 * Renders events as a self-contained HTML page: a chart with one row per process and one mark per event, and a table of
 * all events.
 */
export const renderTimelinePage = (events: readonly TimelineEvent[]): string => {
    const processes = [...new Set(events.map(({ process }) => process))].sort();
    const startMs = events.length > 0 ? wallMs(events[0]) : 0;
    const spanMs = Math.max(1, ...events.map((event) => wallMs(event) - startMs));
    const xOf = (event: TimelineEvent): number => LABEL_WIDTH_PX + ((wallMs(event) - startMs) / spanMs) * PLOT_WIDTH_PX;
    const yOf = (process: string): number => (processes.indexOf(process) + 1) * ROW_HEIGHT_PX;
    const labels = processes.map((process) => `<text x="4" y="${yOf(process) + 4}">${escapeHtml(process)}</text>`);
    const marks = events.map((event) =>
        `<circle cx="${xOf(event).toFixed(1)}" cy="${yOf(event.process)}" r="4" fill="${colourOf(event)}">`
        + `<title>${escapeHtml(formatEvent(event))}</title></circle>`
    );
    const rows = events.map((event) => {
        const cells = [event.at, event.process, event.event, [...event.fields].map(([k, v]) => `${k}=${v}`).join(" ")];
        return `<tr>${cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join("")}</tr>`;
    });
    const height = (processes.length + 2) * ROW_HEIGHT_PX;
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>body{font:14px sans-serif;margin:1em}table{border-collapse:collapse}td{padding:2px 10px;white-space:nowrap}</style>
</head><body><h1>Time line</h1>
<p>${events.length} events of ${processes.length} processes in ${
        (spanMs / MS_PER_SECOND).toFixed(1)
    } s. Point at a mark to read it.</p>
<svg width="${LABEL_WIDTH_PX + PLOT_WIDTH_PX + 20}" height="${height}">${labels.join("")}${marks.join("")}</svg>
<table>${rows.join("\n")}</table></body></html>
`;
};
