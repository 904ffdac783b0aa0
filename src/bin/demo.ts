import { join, resolve } from "node:path";
import { RolloutResult } from "../catalogue/RolloutResult";
import { readEntryFile } from "../cli/readEntryFile";
import { convergenceMs } from "../emulator/convergenceMs";
import { Mesh } from "../emulator/Mesh";
import { MeshOperator } from "../emulator/MeshOperator";
import { MeshSpecification } from "../emulator/MeshSpecification";
import { withMesh } from "../emulator/withMesh";
import { LoadRunner } from "../load/LoadRunner";
import { noFault } from "../load/noFault";
import { runProgram } from "../process/runProgram";

const EXAMPLES = resolve(__dirname, "..", "..", "..", "examples");
const SERVICES = ["lipa-map", "lipa-survey", "bursa-stock", "bursa-dispatch"] as const;
const ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"] as const;
const HOSTS_PER_ZONE = 3;
const LOAD_DURATION_MS = 40_000;
const SEED = 7;

type Hosts = MeshSpecification["hosts"];

/** Twelve hosts in four availability zones. Each host serves one of the four services, in turn. */
const hosts: Hosts = ZONES.flatMap((zone, zoneIndex) =>
    Array.from({ length: HOSTS_PER_ZONE }, (_, index) => {
        const number = zoneIndex * HOSTS_PER_ZONE + index;
        const service = SERVICES[number % SERVICES.length];
        const slots = service.startsWith("lipa") ? 12 : 6;
        return {
            id: `node-${number + 1}`,
            zone,
            backends: [{ service, backendVersion: "v1", slots, latencyMs: 4 }],
        };
    })
);

const print = (line: string): void => void process.stdout.write(`${line}\n`);

/** Prints a claim and whether it holds. Returns whether it holds. */
const check = (claim: string, holds: boolean): boolean => {
    print(`  ${holds ? "ok    " : "FALSE "} ${claim}`);
    return holds;
};

const startLoad = (mesh: Mesh, service: string, paths: readonly [string, string], seed: number): LoadRunner =>
    new LoadRunner({
        targets: mesh.callerAddresses,
        service,
        requestsPerSecond: 200,
        durationMs: LOAD_DURATION_MS,
        requests: [
            { method: "GET", path: paths[0], weight: 9 },
            { method: "POST", path: paths[1], weight: 1 },
        ],
        timeoutMs: 1_000,
        seed,
        maximumConnections: 64,
    });

/** Starts backend servers of a version on every host of a service; half of their requests fail if `failing`. */
const startVersion = async (mesh: Mesh, service: string, backendVersion: string, failing: boolean): Promise<void> => {
    const servingHosts = hosts.filter(({ backends }) => backends.some((backend) => backend.service === service));
    for (const { backends, id } of servingHosts) {
        const fault = failing ? { ...noFault, kind: "fail" as const, share: 0.5 } : noFault;
        await mesh.startBackend(id, { ...backends[0], backendVersion }, fault);
    }
};

/** Returns the entry with the given pool as its only one, on another backend version, and a deadline in a minute. */
const withVersion = (entry: Readonly<Record<string, unknown>>, pool: string, backendVersion: string) => ({
    ...entry,
    content: { ...(entry.content as object), pools: { [pool]: { backendVersion } } },
    completeBy: new Date(Date.now() + 60_000).toISOString(),
});

const formatDuration = (milliseconds: number | undefined): string =>
    milliseconds === undefined ? "not reached" : `${Math.round(milliseconds)} ms`;

const totalSentBytes = async (mesh: Mesh): Promise<number> => {
    const statuses = await Promise.all(mesh.hosts.map(({ id }) => mesh.nodeStatus(id)));
    return statuses.reduce((sum, status) => sum + (status?.traffic.sentBytes ?? 0), 0);
};

const runScenario = async (mesh: Mesh): Promise<boolean> => {
    const operator = new MeshOperator(mesh);
    print("1. The operators accept a first version of four services.");
    for (const service of SERVICES) {
        await operator.apply(await readEntryFile(join(EXAMPLES, `${service}.yaml`)));
    }
    for (const service of SERVICES) {
        await operator.waitUntilEnded(service, 1);
    }
    const leader = await mesh.leader();
    print(`   all four are in force on ${mesh.hosts.length} proxies; ${leader.id} leads`);

    print("2. Callers arrive: 200 requests a second to the map and to the stock desk.");
    const mapLoad = startLoad(mesh, "lipa-map", ["/tiles/1/2/3", "/orders"], SEED);
    const stockLoad = startLoad(mesh, "bursa-stock", ["/blanks/walnut", "/reservations"], SEED + 1);
    const loads = [mapLoad.run(), stockLoad.run()] as const;
    const bytesBefore = await totalSentBytes(mesh);
    const startedMs = performance.now();

    print("3. Lipa moves the map to v2, which is good.");
    await startVersion(mesh, "lipa-map", "v2", false);
    const map = await readEntryFile(join(EXAMPLES, "lipa-map.yaml"));
    const goodVersion = await operator.apply(withVersion(map, "tiles", "v2"));
    const good = await operator.waitUntilEnded("lipa-map", goodVersion);
    print(`   ${good.lastOutcome?.result}: ${good.lastOutcome?.reason}; on time: ${good.lastOutcome?.onTime}`);

    print("4. Bursa moves the stock desk to v2, which fails every second request.");
    await startVersion(mesh, "bursa-stock", "v2", true);
    const stock = await readEntryFile(join(EXAMPLES, "bursa-stock.yaml"));
    const badVersion = await operator.apply(withVersion(stock, "desk", "v2"));
    const bad = await operator.waitUntilEnded("bursa-stock", badVersion);
    print(`   ${bad.lastOutcome?.result}: ${bad.lastOutcome?.reason}`);

    const seconds = (performance.now() - startedMs) / 1_000;
    const bytesPerNode = ((await totalSentBytes(mesh)) - bytesBefore) / mesh.hosts.length / seconds;
    mapLoad.stop();
    stockLoad.stop();
    const [mapResult, stockResult] = await Promise.all(loads);
    const failedByBadVersion = stockResult.failedByBackendVersion.v2 ?? 0;
    const failureSpanMs = (stockResult.lastFailureMs.v2 ?? 0) - (stockResult.firstFailureMs.v2 ?? 0);
    const executedTwice = mesh.hosts.flatMap(({ backends }) =>
        backends.flatMap(({ statistics }) => statistics.repeated)
    );

    print("What happened:");
    print(
        `  last step of the good move reached all proxies in ${
            formatDuration(convergenceMs(mesh, "lipa-map", good.revision))
        }`,
    );
    print(`  the take-back reached all proxies in ${formatDuration(convergenceMs(mesh, "bursa-stock", bad.revision))}`);
    print(`  control traffic: ${Math.round(bytesPerNode)} bytes a second sent by a node`);
    print(
        `  callers harmed by the bad version: ${failedByBadVersion} of ${stockResult.sent}, within ${
            formatDuration(failureSpanMs)
        }`,
    );
    print(`  map: p50 ${mapResult.latencyMs.p50.toFixed(1)} ms, p99 ${mapResult.latencyMs.p99.toFixed(1)} ms`);
    const checks = [
        check(
            "the good version is finished, on time",
            good.lastOutcome?.result === RolloutResult.Finished && good.lastOutcome.onTime,
        ),
        check("the bad version is taken back", bad.lastOutcome?.result === RolloutResult.RolledBack),
        check("the version number went up when it was taken back", bad.version > badVersion),
        check("no caller of the map was harmed", mapResult.failed === 0),
        check("the bad version harmed fewer than 2 in 100 callers", failedByBadVersion < stockResult.sent * 0.02),
        check("the bad version got no traffic after 3 s from its first fault", failureSpanMs <= 3_000),
        check("no order or reservation ran twice", executedTwice.length === 0),
        check(
            "every caller got the answer to its own request",
            mapResult.misdelivered + stockResult.misdelivered === 0,
        ),
    ];
    return checks.every(Boolean);
};

runProgram(async () => {
    const succeeded = await withMesh(
        { controls: 3, hosts, services: SERVICES, seed: SEED, withFaults: false },
        runScenario,
    );
    print(succeeded ? "The demo has shown what it claims." : "The demo has FAILED.");
    process.exit(succeeded ? 0 : 1);
});
