import { escapeHtml } from "./escapeHtml";
import { TimelineEvent } from "./TimelineEvent";

const ISO_LENGTH = 24;
const MS_PER_SECOND = 1_000;
const ROW_HEIGHT_PX = 26;
const LABEL_WIDTH_PX = 140;
const PLOT_WIDTH_PX = 1_000;
const WARNINGS = /failed|rejected|suppressed|taken-back|late|closed/;

const wallMs = ({ at }: TimelineEvent): number => Date.parse(at.slice(0, ISO_LENGTH));

const colourOf = ({ event }: TimelineEvent): string => {
    if (WARNINGS.test(event)) {
        return "#b3261e";
    }
    return event.startsWith("configuration") ? "#2e7d32" : "#1f5fa8";
};

const describe = ({ at, event, fields, process }: TimelineEvent): string =>
    [at, process, event, ...[...fields].map(([name, value]) => `${name}=${value}`)].join(" ");

/** Writes the time line as a page of its own: one row a process, one mark an event, and the events as a table. */
export const renderTimelinePage = (events: readonly TimelineEvent[]): string => {
    const processes = [...new Set(events.map(({ process }) => process))].sort();
    const startMs = events.length > 0 ? wallMs(events[0]) : 0;
    const spanMs = Math.max(1, ...events.map((event) => wallMs(event) - startMs));
    const xOf = (event: TimelineEvent): number => LABEL_WIDTH_PX + ((wallMs(event) - startMs) / spanMs) * PLOT_WIDTH_PX;
    const yOf = (process: string): number => (processes.indexOf(process) + 1) * ROW_HEIGHT_PX;
    const labels = processes.map((process) => `<text x="4" y="${yOf(process) + 4}">${escapeHtml(process)}</text>`);
    const marks = events.map((event) =>
        `<circle cx="${xOf(event).toFixed(1)}" cy="${yOf(event.process)}" r="4" fill="${colourOf(event)}">`
        + `<title>${escapeHtml(describe(event))}</title></circle>`
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
