#!/usr/bin/env node
import { Command } from "commander";
import { FaultPlan } from "../load/FaultPlan";
import { LoadRunner } from "../load/LoadRunner";
import { noFault } from "../load/noFault";
import { StandInBackend } from "../load/StandInBackend";
import { onStopSignal } from "../process/onStopSignal";
import { runProgram } from "../process/runProgram";
import { parseAddressOrDefault } from "../transport/parseAddressOrDefault";

/** Time for requests in progress to finish after the backend server has announced that it is draining. */
const DRAIN_WAIT_MS = 2_000;

type Flags = Readonly<Record<string, string>>;

const startBackend = async (flags: Flags): Promise<void> => {
    const fault: FaultPlan = {
        ...noFault,
        kind: flags.fault as FaultPlan["kind"],
        share: Number(flags.faultShare),
        pathPrefix: flags.faultPath,
        afterMs: Number(flags.faultAfterMs),
        abovePerSecond: Number(flags.faultAbovePerSecond),
        delayMs: Number(flags.faultDelayMs),
    };
    const backend = new StandInBackend({
        service: flags.service,
        backendVersion: flags.backendVersion,
        slots: Number(flags.slots),
        listen: parseAddressOrDefault(flags.listen),
        hostAddress: flags.host,
        latencyMs: Number(flags.latencyMs),
        coldLatencyMs: Number(flags.coldLatencyMs),
        warmUpMs: Number(flags.warmUpMs),
        healthLagMs: Number(flags.healthLagMs),
        fault,
        shedFactor: Number(flags.shedFactor),
        seed: Number(flags.seed),
    });
    await backend.start();
    process.stdout.write(`backend server of ${flags.service} listens on ${backend.boundAddress}\n`);
    onStopSignal(async () => {
        await backend.drain();
        await new Promise((resolve) => setTimeout(resolve, DRAIN_WAIT_MS));
        await backend.dispose();
    });
};

const runLoad = async (flags: Flags): Promise<void> => {
    const result = await new LoadRunner({
        targets: flags.targets.split(","),
        service: flags.service,
        requestsPerSecond: Number(flags.rate),
        durationMs: Number(flags.durationMs),
        requests: [{ method: flags.method as "GET" | "POST", path: flags.path, weight: 1 }],
        timeoutMs: Number(flags.timeoutMs),
        seed: Number(flags.seed),
        maximumConnections: Number(flags.connections),
    }).run();
    process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
};

runProgram(async () => {
    const program = new Command("filbertdeal-load").description(
        "Load generator and stand-in backend servers for experiments.",
    );
    program
        .command("backend")
        .description("run a stand-in backend server that registers with the node of its host")
        .requiredOption("--service <name>", "service that it belongs to")
        .requiredOption("--host <ip:port>", "host address of its node")
        .option("--listen <ip:port>", "address on which it listens", "127.0.0.1:0")
        .option("--backend-version <label>", "version label that it registers with", "v1")
        .option("--slots <number>", "requests that it processes at a time", "12")
        .option("--latency-ms <ms>", "mean latency", "5")
        .option("--cold-latency-ms <ms>", "extra latency after the start", "0")
        .option("--warm-up-ms <ms>", "time over which the extra latency after the start fades", "0")
        .option("--health-lag-ms <ms>", "delay of the answers of the health and load endpoints", "0")
        .option("--fault <kind>", "none, fail, slow or crash", "none")
        .option("--fault-share <share>", "share of requests that the fault affects", "1")
        .option("--fault-path <prefix>", "the fault affects only paths with this prefix", "/")
        .option("--fault-after-ms <ms>", "time from the start until the fault begins", "0")
        .option("--fault-above-per-second <number>", "the fault is active only above this request rate", "0")
        .option("--shed-factor <number>", "multiple of the slots above which requests are rejected", "4")
        .option("--fault-delay-ms <ms>", "extra latency of a slow answer", "500")
        .option("--seed <number>", "seed of the random number generator", "1")
        .action(startBackend);
    program
        .command("run")
        .description("send requests at a fixed rate and print the results as JSON")
        .requiredOption("--targets <ip:port,...>", "caller addresses of nodes")
        .requiredOption("--service <name>", "service to call")
        .option("--path <path>", "path to call", "/")
        .option("--method <method>", "GET or POST", "GET")
        .option("--rate <number>", "requests a second", "100")
        .option("--duration-ms <ms>", "duration of the load", "10000")
        .option("--timeout-ms <ms>", "deadline of a request", "1000")
        .option("--connections <number>", "maximum number of connections to each target", "64")
        .option("--seed <number>", "seed of the random number generator", "1")
        .action(runLoad);
    await program.parseAsync();
});
