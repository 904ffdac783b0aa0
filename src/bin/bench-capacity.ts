import { Command } from "commander";
import { writeFile } from "node:fs/promises";
import { measureCapacity } from "../bench/measureCapacity";
import { formatTable } from "../cli/formatTable";
import { runProgram } from "../process/runProgram";

const DIGITS = 4;

const short = (value: number): string => String(Number(value.toPrecision(DIGITS)));

runProgram(async () => {
    const program = new Command("bench-capacity")
        .description("Measures how the costs of each role grow, and fits a line through each.")
        .option("--seed <number>", "seed of the load", "1")
        .option("--output <file>", "write the points and lines as JSON to this file", "docs/capacity.json");
    program.parse();
    const { output, seed } = program.opts<{ readonly output: string; readonly seed: string; }>();
    const reports = await measureCapacity(Number(seed));
    const rows = reports.map(({ line, name, points, sizeName, unit }) => [
        name,
        points.map(({ x, y }) => `${x}: ${short(y)}`).join(", "),
        `${short(line.intercept)} + ${short(line.slope)} x ${sizeName}`,
        line.residuals.map(short).join(", "),
        unit,
    ]);
    process.stdout.write(`${formatTable(["QUANTITY", "MEASURED", "LINE", "RESIDUALS", "UNIT"], rows)}\n`);
    await writeFile(output, `${JSON.stringify(reports, undefined, 4)}\n`);
    process.exit(0);
});
