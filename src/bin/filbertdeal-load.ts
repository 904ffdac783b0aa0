#!/usr/bin/env node
import { Command } from "commander";
import { FaultPlan } from "../load/FaultPlan";
import { LoadRunner } from "../load/LoadRunner";
import { noFault } from "../load/noFault";
import { StandInBackend } from "../load/StandInBackend";
import { onStopSignal } from "../process/onStopSignal";
import { runProgram } from "../process/runProgram";
import { addressOf } from "../transport/addressOf";

const DRAIN_MS = 2_000;

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
        listen: addressOf(flags.listen),
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
        await new Promise((resolve) => setTimeout(resolve, DRAIN_MS));
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
    const program = new Command("filbertdeal-load").description("Load and stand-in backend servers for experiments.");
    program
        .command("backend")
        .description("run a stand-in backend server that announces itself to its host's node")
        .requiredOption("--service <name>", "service that it belongs to")
        .requiredOption("--host <ip:port>", "host side of its node")
        .option("--listen <ip:port>", "where it serves", "127.0.0.1:0")
        .option("--backend-version <label>", "version label that it announces", "v1")
        .option("--slots <number>", "requests that it works on at a time", "12")
        .option("--latency-ms <ms>", "mean latency", "5")
        .option("--cold-latency-ms <ms>", "extra latency at the start", "0")
        .option("--warm-up-ms <ms>", "time over which the extra latency fades", "0")
        .option("--health-lag-ms <ms>", "how late the health endpoint is", "0")
        .option("--fault <kind>", "none, fail or slow", "none")
        .option("--fault-share <share>", "share of requests that are hit", "1")
        .option("--fault-path <prefix>", "only requests whose path starts so", "/")
        .option("--fault-after-ms <ms>", "when the fault begins", "0")
        .option("--fault-above-per-second <number>", "only while more requests a second come", "0")
        .option("--shed-factor <number>", "multiple of the slots beyond which load is shed", "4")
        .option("--fault-delay-ms <ms>", "extra latency of a slow answer", "500")
        .option("--seed <number>", "seed of the random numbers", "1")
        .action(startBackend);
    program
        .command("run")
        .description("send requests at a fixed rate and print what came back as JSON")
        .requiredOption("--targets <ip:port,...>", "caller sides of nodes")
        .requiredOption("--service <name>", "service to call")
        .option("--path <path>", "path to call", "/")
        .option("--method <method>", "GET or POST", "GET")
        .option("--rate <number>", "requests a second", "100")
        .option("--duration-ms <ms>", "how long", "10000")
        .option("--timeout-ms <ms>", "deadline of a request", "1000")
        .option("--connections <number>", "connections to each target at most", "64")
        .option("--seed <number>", "seed of the random numbers", "1")
        .action(runLoad);
    await program.parseAsync();
});
