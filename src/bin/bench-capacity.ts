import { Command } from "commander";
import { writeFile } from "node:fs/promises";
import { measureCapacity } from "../bench/measureCapacity";
import { formatTable } from "../cli/formatTable";
import { runProgram } from "../process/runProgram";

const SIGNIFICANT_DIGITS = 4;

const formatNumber = (value: number): string => String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));

runProgram(async () => {
    const program = new Command("bench-capacity")
        .description("Measures how the costs of each role grow with the load or size, and fits a line to each.")
        .option("--seed <number>", "seed of the load", "1")
        .option("--output <file>", "write the points and fitted lines as JSON to this file", "docs/capacity.json");
    program.parse();
    const { output, seed } = program.opts<{ readonly output: string; readonly seed: string; }>();
    const reports = await measureCapacity(Number(seed));
    const rows = reports.map(({ line, name, points, sizeName, unit }) => [
        name,
        points.map(({ x, y }) => `${x}: ${formatNumber(y)}`).join(", "),
        `${formatNumber(line.intercept)} + ${formatNumber(line.slope)} x ${sizeName}`,
        line.residuals.map(formatNumber).join(", "),
        unit,
    ]);
    process.stdout.write(`${formatTable(["QUANTITY", "MEASURED", "LINE", "RESIDUALS", "UNIT"], rows)}\n`);
    await writeFile(output, `${JSON.stringify(reports, undefined, 4)}\n`);
    process.exit(0);
});
