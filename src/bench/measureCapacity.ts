import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CatalogueEntry } from "../catalogue/CatalogueEntry";
import { parseEntry } from "../catalogue/parseEntry";
import { FileReplicaStore } from "../consensus/FileReplicaStore";
import { digestOf } from "../core/digestOf";
import { pause } from "../core/pause";
import { acceptUpdate } from "../distribution/acceptUpdate";
import { computeUpdate } from "../distribution/computeUpdate";
import { emptyResources } from "../distribution/emptyResources";
import { ResourceState } from "../distribution/ResourceState";
import { convergenceMs } from "../emulator/convergenceMs";
import { createEntry } from "../emulator/createEntry";
import { Mesh } from "../emulator/Mesh";
import { MeshOperator } from "../emulator/MeshOperator";
import { withUniformMesh } from "../emulator/withUniformMesh";
import { LoadRunner } from "../load/LoadRunner";
import { MemberRecord } from "../membership/MemberRecord";
import { membershipOperations } from "../membership/membershipOperations";
import { MemberStatus } from "../membership/MemberStatus";
import { createSessionCodec } from "../transport/createSessionCodec";
import { CapacityReport } from "./CapacityReport";
import { fitLine } from "./fitLine";
import { percentile } from "./percentile";

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_MEGABYTE = 1_000_000;
const SETTLE_MS = 6_000;
const MEASURE_MS = 8_000;
const CHANGE_COUNT = 10;

const NODE_COUNTS = [8, 16, 32, 64] as const;
const CALL_RATES = [20, 100, 300] as const;
const ENTRY_COUNTS = [100, 300, 630] as const;
const MEMBER_COUNTS = [500, 2_000, 6_000] as const;
const LOG_LENGTHS = [500, 1_000, 2_000] as const;

type Points = CapacityReport["points"];

const createReport = (name: string, sizeName: string, unit: string, points: Points): CapacityReport => ({
    name,
    sizeName,
    unit,
    points,
    line: fitLine(points),
});

const average = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** Average costs of a node, either idle or during configuration changes. */
type NodeCosts = {
    readonly bytesPerSecond: number;
    /** Processor time as a share of one core. */
    readonly cpuShare: number;
    readonly residentMegabytes: number;
};

const readStatuses = async (mesh: Mesh) => {
    const statuses = await Promise.all(mesh.hosts.map(({ id }) => mesh.nodeStatus(id)));
    return statuses.flatMap((status) => status ?? []);
};

const cpuMicroseconds = ({ cpu }: { readonly cpu: { readonly user: number; readonly system: number; }; }): number =>
    cpu.user + cpu.system;

/** Measures the average costs of a node while the action runs. */
const measureNodes = async (mesh: Mesh, action: () => Promise<unknown>): Promise<NodeCosts> => {
    const before = await readStatuses(mesh);
    const startedMs = performance.now();
    await action();
    const after = await readStatuses(mesh);
    const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
    const sentBytes = after.map(({ traffic }, index) => traffic.sentBytes - before[index].traffic.sentBytes);
    const cpuTimes = after.map((status, index) => cpuMicroseconds(status) - cpuMicroseconds(before[index]));
    return {
        bytesPerSecond: average(sentBytes) / seconds,
        cpuShare: average(cpuTimes) / MICROSECONDS_PER_SECOND / seconds,
        residentMegabytes: average(after.map(({ memory }) => memory.rss)) / BYTES_PER_MEGABYTE,
    };
};

/** Applies this many changes and returns the convergence time of each. */
const applyChanges = async (mesh: Mesh, count: number): Promise<readonly number[]> => {
    const operator = new MeshOperator(mesh);
    const convergenceTimesMs: number[] = [];
    for (let change = 0; change < count; change += 1) {
        const version = await operator.apply(createEntry("map", { backendVersion: "v1", timeoutMs: 1_000 + change }));
        const { revision } = await operator.waitUntilEnded("map", version);
        // A change has two revisions here. The first one carries the new content.
        convergenceTimesMs.push(convergenceMs(mesh, "map", revision - 1) ?? 0);
    }
    return convergenceTimesMs;
};

/** Measures convergence and the costs of an idle and of a changing node, by number of nodes. Uses real processes. */
const measureByNodes = async (seed: number): Promise<readonly CapacityReport[]> => {
    const idle: NodeCosts[] = [];
    const changing: NodeCosts[] = [];
    const slowestConvergenceMs: number[] = [];
    for (const count of NODE_COUNTS) {
        const size = { zones: 4, hostsPerZone: count / 4, services: ["map"], seed, withFaults: false };
        await withUniformMesh(size, async (mesh) => {
            await applyChanges(mesh, 1);
            await pause(SETTLE_MS);
            idle.push(await measureNodes(mesh, () => pause(MEASURE_MS)));
            let convergenceTimesMs: readonly number[] = [];
            changing.push(
                await measureNodes(mesh, async () => {
                    convergenceTimesMs = await applyChanges(mesh, CHANGE_COUNT);
                }),
            );
            slowestConvergenceMs.push(percentile(convergenceTimesMs, 1) ?? 0);
        });
    }
    const toPoints = (costs: readonly NodeCosts[], costOf: (cost: NodeCosts) => number): Points =>
        costs.map((cost, index) => ({ x: NODE_COUNTS[index], y: costOf(cost) }));
    return [
        createReport(
            "control bytes of an idle node",
            "nodes",
            "B/s",
            toPoints(idle, ({ bytesPerSecond }) => bytesPerSecond),
        ),
        createReport(
            "processor time of an idle node",
            "nodes",
            "% of a core",
            toPoints(idle, ({ cpuShare }) => cpuShare * 100),
        ),
        createReport(
            "resident memory of an idle node",
            "nodes",
            "MB",
            toPoints(idle, (cost) => cost.residentMegabytes),
        ),
        createReport(
            "control bytes, changes back to back",
            "nodes",
            "B/s",
            toPoints(changing, (cost) => cost.bytesPerSecond),
        ),
        createReport(
            "processor time, changes back to back",
            "nodes",
            "% of a core",
            toPoints(changing, (cost) => cost.cpuShare * 100),
        ),
        createReport(
            "slowest convergence",
            "nodes",
            "ms",
            slowestConvergenceMs.map((y, index) => ({ x: NODE_COUNTS[index], y })),
        ),
    ];
};

/** Measures processor time and added latency of calls through one node, by rate. */
const measureByCalls = (seed: number): Promise<readonly CapacityReport[]> =>
    withUniformMesh(
        { zones: 1, hostsPerZone: 2, services: ["map"], seed, withFaults: false, latencyMs: 4 },
        async (mesh) => {
            await applyChanges(mesh, 1);
            await pause(SETTLE_MS);
            const runLoad = (target: string, requestsPerSecond: number) =>
                new LoadRunner({
                    targets: [target],
                    service: "map",
                    requestsPerSecond,
                    durationMs: MEASURE_MS,
                    requests: [{ method: "GET", path: "/x", weight: 1 }],
                    timeoutMs: 1_000,
                    seed,
                    maximumConnections: 16,
                }).run();
            const cpu: { readonly x: number; readonly y: number; }[] = [];
            const addedMedian: { readonly x: number; readonly y: number; }[] = [];
            const addedP99: { readonly x: number; readonly y: number; }[] = [];
            await runLoad(mesh.callerAddresses[0], CALL_RATES[1]);
            for (const x of CALL_RATES) {
                const direct = await runLoad(mesh.hosts[0].backends[0].boundAddress, x);
                const before = await mesh.nodeStatus("node-1");
                const through = await runLoad(mesh.callerAddresses[0], x);
                const after = await mesh.nodeStatus("node-1");
                const cpuTime = after && before ? cpuMicroseconds(after) - cpuMicroseconds(before) : 0;
                cpu.push({ x, y: (cpuTime / MICROSECONDS_PER_SECOND / (MEASURE_MS / MS_PER_SECOND)) * 100 });
                addedMedian.push({ x, y: through.latencyMs.p50 - direct.latencyMs.p50 });
                addedP99.push({ x, y: through.latencyMs.p99 - direct.latencyMs.p99 });
            }
            return [
                createReport("processor time of a node with calls", "calls a second", "% of a core", cpu),
                createReport("added latency, median", "calls a second", "ms", addedMedian),
                createReport("added latency, 99 in 100", "calls a second", "ms", addedP99),
            ];
        },
    );

const createParsedEntry = (service: string, backendVersion: string): CatalogueEntry =>
    parseEntry(createEntry(service, { backendVersion }), Date.now());

const createState = (entries: number): ResourceState => {
    const contents = new Map<string, CatalogueEntry["content"]>();
    const resources = new Map<
        string,
        ResourceState["resources"] extends ReadonlyMap<string, infer Resource> ? Resource : never
    >();
    for (let index = 1; index <= entries; index += 1) {
        const service = `service-${index}`;
        const entry = createParsedEntry(service, `v${index}`);
        const digest = digestOf(entry.content);
        contents.set(digest, entry.content);
        resources.set(service, {
            service,
            revision: index,
            class: entry.class,
            stable: { version: 1, digest },
            candidate: undefined,
        });
    }
    return { sourceRevision: entries, resources, contents };
};

/**
 * Measures the first update to a relay that has no configuration yet, by number of entries: its bytes, and the time
 * that the parent and the relay spend on it.
 */
const measureByEntries = (): readonly CapacityReport[] => {
    const rows = ENTRY_COUNTS.map((x) => {
        const state = createState(x);
        const subscription = { services: new Set(state.resources.keys()), held: new Map(), sourceRevision: 0 };
        const startedMs = performance.now();
        const { update } = computeUpdate(state, subscription);
        const bytes = createSessionCodec().encode(update).length;
        const encodedAtMs = performance.now();
        if (update) {
            acceptUpdate(emptyResources, update);
        }
        return { x, bytes, send: encodedAtMs - startedMs, accept: performance.now() - encodedAtMs };
    });
    return [
        createReport("catch-up from nothing", "entries", "B", rows.map(({ bytes, x }) => ({ x, y: bytes }))),
        createReport("catch-up from nothing, parent", "entries", "ms", rows.map(({ send, x }) => ({ x, y: send }))),
        createReport("catch-up from nothing, child", "entries", "ms", rows.map(({ accept, x }) => ({ x, y: accept }))),
    ];
};

const createMember = (index: number): MemberRecord => ({
    id: `node-${index}`,
    zone: `zone-${index % 17}`,
    incarnation: 1_700_000_000_000 + index,
    sequence: 3,
    status: MemberStatus.Alive,
    peerAddress: `10.0.${index >> 8}.${index & 255}:7001`,
    inboundAddress: `10.0.${index >> 8}.${index & 255}:7003`,
    endpoints: [],
});

/** Measures a node's member list: memory, bytes of a full exchange and time to merge a change, by number of members. */
const measureByMembers = (): readonly CapacityReport[] => {
    const rows = MEMBER_COUNTS.map((x) => {
        const records = Array.from({ length: x }, (_, index) => createMember(index + 1));
        const before = process.memoryUsage().heapUsed;
        const decoded = createSessionCodec().decode(createSessionCodec().encode(records)) as readonly MemberRecord[];
        const state = membershipOperations.merge(membershipOperations.create(createMember(0), 0), decoded, 0).state;
        const megabytes = (process.memoryUsage().heapUsed - before) / BYTES_PER_MEGABYTE;
        const bytes = createSessionCodec().encode(records).length;
        const startedMs = performance.now();
        const repetitions = 20;
        for (let repetition = 0; repetition < repetitions; repetition += 1) {
            membershipOperations.merge(state, [{ ...records[0], sequence: 4 + repetition }], 0);
        }
        return { x, megabytes, bytes, change: (performance.now() - startedMs) / repetitions };
    });
    return [
        createReport("members in memory", "members", "MB", rows.map(({ megabytes, x }) => ({ x, y: megabytes }))),
        createReport("full exchange of members", "members", "B", rows.map(({ bytes, x }) => ({ x, y: bytes }))),
        createReport("taking in one member's change", "members", "ms", rows.map(({ change, x }) => ({ x, y: change }))),
    ];
};

/** Measures a replica's recovery at start and one synced append, by length of the log. */
const measureByLog = async (): Promise<readonly CapacityReport[]> => {
    const membership = { voters: [{ id: "a", address: "127.0.0.1:1" }], learners: [] };
    const entry = createParsedEntry("map", "v1");
    const recovery: { readonly x: number; readonly y: number; }[] = [];
    const append: { readonly x: number; readonly y: number; }[] = [];
    for (const x of LOG_LENGTHS) {
        const folder = await mkdtemp(join(tmpdir(), "filbertdeal-capacity-"));
        const store = new FileReplicaStore(folder);
        await store.recover(membership);
        const startedMs = performance.now();
        for (let index = 1; index <= x; index += 1) {
            const command = { kind: "apply", entry, expectedVersion: index };
            await store.saveEntries(index, [{ index, term: 1, payload: { kind: "command", command } }]);
        }
        append.push({ x, y: (performance.now() - startedMs) / x });
        await store.dispose();
        const reopened = new FileReplicaStore(folder);
        const recoveryStartedMs = performance.now();
        await reopened.recover(membership);
        recovery.push({ x, y: performance.now() - recoveryStartedMs });
        await reopened.dispose();
        await rm(folder, { recursive: true, force: true });
    }
    return [
        createReport("recovery at start", "log entries", "ms", recovery),
        createReport("one synced append", "log entries", "ms", append),
    ];
};

/** Measures how the costs of each role grow with its load. docs/CAPACITY.md uses the fitted lines. */
export const measureCapacity = async (seed: number): Promise<readonly CapacityReport[]> => [
    ...measureByEntries(),
    ...measureByMembers(),
    ...await measureByLog(),
    ...await measureByCalls(seed),
    ...await measureByNodes(seed),
];
