import { escapeHtml } from "../timeline/escapeHtml";
import { BenchReport } from "./BenchReport";
import { Measure } from "./Measure";

const PLOT_WIDTH_PX = 800;
const PLOT_HEIGHT_PX = 160;

/** One line of a plot. */
type Series = {
    readonly name: string;
    readonly colour: string;
    readonly values: readonly number[];
};

const format = (value: number | undefined): string => (value === undefined ? "-" : value.toFixed(2));

const verdictOf = ({ met }: Measure): string => (met === undefined ? "" : met ? "met" : "NOT MET");

const renderMeasures = (measures: readonly Measure[]): string => {
    const rows = measures.map((measure) => {
        const cells = [measure.name, `${format(measure.value)} ${measure.unit}`, measure.target, verdictOf(measure)];
        return `<tr>${cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join("")}</tr>`;
    });
    return `<table><tr><th>Measure</th><th>Figure</th><th>Target</th><th></th></tr>${rows.join("")}</table>`;
};

const renderPlot = (title: string, unit: string, series: readonly Series[]): string => {
    const maximum = Math.max(1, ...series.flatMap(({ values }) => values));
    const lines = series.map(({ colour, values }) => {
        const stepPx = PLOT_WIDTH_PX / Math.max(1, values.length - 1);
        const points = values.map((value, index) =>
            `${(index * stepPx).toFixed(1)},${(PLOT_HEIGHT_PX * (1 - value / maximum)).toFixed(1)}`
        );
        return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points.join(" ")}"/>`;
    });
    const legend = series.map(({ colour, name }) => `<span style="color:${colour}">${escapeHtml(name)}</span>`).join(
        " ",
    );
    return `<h2>${escapeHtml(title)}</h2><p>${legend}; the top is ${format(maximum)} ${escapeHtml(unit)}</p>`
        + `<svg width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" style="border:1px solid #999">${
            lines.join("")
        }</svg>`;
};

const renderRollouts = ({ moves }: BenchReport): string => {
    const rows = moves.moves.map(({ bad, durationMs, faultToZeroMs, harmed, move, reason, requestsDuring, result }) => {
        const cells = [
            String(move + 1),
            bad ?? "good",
            `${result}: ${reason}`,
            format(durationMs),
            `${harmed} of ${requestsDuring}`,
            format(faultToZeroMs),
        ];
        return `<tr>${cells.map((cell) => `<td>${escapeHtml(cell)}</td>`).join("")}</tr>`;
    });
    return "<h2>Moves</h2><table><tr><th>Move</th><th>Version</th><th>Result</th><th>Duration, ms</th>"
        + `<th>Harmed</th><th>First fault to no traffic, ms</th></tr>${rows.join("")}</table>`;
};

/** Renders a report as a self-contained HTML page with plots. */
export const renderBenchPage = (report: BenchReport): string => {
    const { firm, moves, overload, seed } = report;
    const faults = report.faults.join(", ") || "no faults";
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Bench: ${escapeHtml(firm)}</title>
<style>body{font:14px sans-serif;margin:1em}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left}</style>
</head><body><h1>Bench of ${escapeHtml(firm)}</h1>
<p>Seed ${seed}, ${escapeHtml(faults)}, ${escapeHtml(report.startedAt)}.</p>
${renderMeasures(report.measures)}
${renderRollouts(report)}
${
        renderPlot("Answers in each second of the moves", "answers", [
            { name: "good", colour: "#2e7d32", values: moves.load.successesPerSecond },
            { name: "failed", colour: "#b3261e", values: moves.load.failuresPerSecond },
        ])
    }
${
        renderPlot("Convergence of each revision", "ms", [
            { name: "time to all proxies", colour: "#1f5fa8", values: moves.convergenceMs },
        ])
    }
${
        renderPlot("Goodput by offered load", "answers a second", [
            {
                name: "through the system",
                colour: "#2e7d32",
                values: overload.map(({ goodputPerSecond }) => goodputPerSecond),
            },
            { name: "plain, in turn", colour: "#b3261e", values: overload.map((step) => step.plainGoodputPerSecond) },
        ])
    }
</body></html>
`;
};
