import { Command } from "commander";
import { writeFile } from "node:fs/promises";
import { BadVersionKind } from "../bench/BadVersionKind";
import { benchHosts } from "../bench/benchHosts";
import { BenchReport } from "../bench/BenchReport";
import { FaultKind } from "../bench/FaultKind";
import { Firm } from "../bench/Firm";
import { firms } from "../bench/firms";
import { LatencyExperiment } from "../bench/LatencyExperiment";
import { Measure } from "../bench/Measure";
import { OverloadExperiment } from "../bench/OverloadExperiment";
import { renderBenchPage } from "../bench/renderBenchPage";
import { RolloutExperiment } from "../bench/RolloutExperiment";
import { summarizeBench } from "../bench/summarizeBench";
import { formatTable } from "../cli/formatTable";
import { Mesh } from "../emulator/Mesh";
import { withMesh } from "../emulator/withMesh";
import { runProgram } from "../process/runProgram";

type Options = {
    readonly firm: Firm["name"];
    readonly seed: string;
    readonly faults: string;
    readonly output?: string;
    readonly only: string;
    readonly rounds: string;
};

/** The versions rolled out in one round, alternately good (undefined) and bad. */
const ROLLOUT_PLAN: readonly (BadVersionKind | undefined)[] = [
    undefined,
    BadVersionKind.Fails,
    undefined,
    BadVersionKind.FailsLater,
    undefined,
    BadVersionKind.Slow,
    undefined,
    BadVersionKind.OneRoute,
    undefined,
    BadVersionKind.UnderLoad,
];

/** Runs an experiment on a mesh of the firm's size with three control replicas. */
const runInMesh = <Result>(
    firm: Firm,
    seed: number,
    withFaults: boolean,
    latencyMs: number | undefined,
    experiment: (mesh: Mesh) => Promise<Result>,
): Promise<Result> => {
    const services = [firm.service, firm.otherService];
    return withMesh({ controls: 3, hosts: benchHosts(firm, latencyMs), services, seed, withFaults }, experiment);
};

const parseFaults = (text: string): readonly FaultKind[] =>
    text.split(",").filter(Boolean).map((name) => {
        const kind = Object.values(FaultKind).find((candidate) => candidate === name);
        if (!kind) {
            throw new Error(`unknown fault "${name}"; expected one of ${Object.values(FaultKind).join(", ")}`);
        }
        return kind;
    });

const formatMeasure = ({ met, name, target, unit, value }: Measure): readonly string[] => [
    name,
    value === undefined ? "-" : `${value.toFixed(2)} ${unit}`,
    target,
    met === undefined ? "" : met ? "met" : "NOT MET",
];

const run = async (options: Options): Promise<BenchReport> => {
    const firm = firms[options.firm];
    const seed = Number(options.seed);
    const faults = parseFaults(options.faults);
    const plan = Array.from({ length: Number(options.rounds) }, () => ROLLOUT_PLAN).flat();
    const startedAt = new Date().toISOString();
    const isSelected = (name: string): boolean => options.only === "" || options.only.split(",").includes(name);
    const rollouts = await runInMesh(
        firm,
        seed,
        faults.length > 0,
        undefined,
        (mesh) => new RolloutExperiment(mesh, firm, faults, seed).run(isSelected("moves") ? plan : []),
    );
    const overload = isSelected("overload")
        ? await runInMesh(
            firm,
            seed,
            false,
            firm.overloadLatencyMs,
            (mesh) => new OverloadExperiment(mesh, firm, seed).run(),
        )
        : [];
    const latency = isSelected("latency")
        ? await runInMesh(firm, seed, false, undefined, (mesh) => new LatencyExperiment(mesh, firm, seed).run())
        : [];
    const measures = summarizeBench(rollouts, overload, latency);
    return { firm: firm.name, seed, faults, startedAt, measures, moves: rollouts, overload, latency };
};

runProgram(async () => {
    const program = new Command("bench")
        .description("Measures moves, overload and added latency on an emulated mesh of a firm's size.")
        .option("--firm <name>", "lipa or bursa", "lipa")
        .option("--seed <number>", "seed of the load and the fault schedule; 900 to 999 are held out from tuning", "1")
        .option("--faults <kind,...>", `any of ${Object.values(FaultKind).join(", ")}`, "")
        .option("--rounds <number>", "how many times to run the plan of ten moves", "1")
        .option("--only <name,...>", "moves, overload, latency; all by default", "")
        .option("--output <file>", "write the report as JSON to this file, and as an HTML page beside it");
    program.parse();
    const options = program.opts<Options>();
    const report = await run(options);
    process.stdout.write(`firm ${report.firm}, seed ${report.seed}, faults ${options.faults || "none"}\n`);
    process.stdout.write(`${formatTable(["MEASURE", "FIGURE", "TARGET", ""], report.measures.map(formatMeasure))}\n`);
    if (options.output) {
        await writeFile(options.output, JSON.stringify(report, undefined, 2));
        await writeFile(options.output.replace(/(\.json)?$/, ".html"), renderBenchPage(report));
    }
    process.exit(0);
});
