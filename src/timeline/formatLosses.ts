import { countLosses } from "./countLosses";

const COLUMNS = ["second", "route", "outcome", "reason", "requests"] as const;

/** Formats losses as a text table with one line each. */
export const formatLosses = (losses: ReturnType<typeof countLosses>): string => {
    const rows = [COLUMNS, ...losses.map((loss) => COLUMNS.map((column) => `${loss[column]}`))];
    const widths = COLUMNS.map((_, index) => Math.max(...rows.map((row) => row[index].length)));
    return rows.map((row) => row.map((cell, index) => cell.padEnd(widths[index])).join("  ").trimEnd()).join("\n");
};
