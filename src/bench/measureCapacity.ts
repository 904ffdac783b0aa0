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
import { entryOf } from "../emulator/entryOf";
import { Mesh } from "../emulator/Mesh";
import { MeshOperator } from "../emulator/MeshOperator";
import { sampleMesh } from "../emulator/sampleMesh";
import { LoadRunner } from "../load/LoadRunner";
import { MemberRecord } from "../membership/MemberRecord";
import { membershipChanges } from "../membership/membershipChanges";
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
const CHANGES = 10;

const NODE_COUNTS = [8, 16, 32, 64] as const;
const CALL_RATES = [20, 100, 300] as const;
const ENTRY_COUNTS = [100, 300, 630] as const;
const MEMBER_COUNTS = [500, 2_000, 6_000] as const;
const LOG_LENGTHS = [500, 1_000, 2_000] as const;

type Points = CapacityReport["points"];

const report = (name: string, sizeName: string, unit: string, points: Points): CapacityReport => ({
    name,
    sizeName,
    unit,
    points,
    line: fitLine(points),
});

const average = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

/** What the nodes spend while nothing or only changes happen. */
type NodeCosts = {
    readonly bytesPerSecond: number;
    readonly cpuShare: number;
    readonly residentMegabytes: number;
};

const statusesOf = async (mesh: Mesh) => {
    const statuses = await Promise.all(mesh.hosts.map(({ id }) => mesh.nodeStatus(id)));
    return statuses.flatMap((status) => status ?? []);
};

const cpuOf = ({ cpu }: { readonly cpu: { readonly user: number; readonly system: number; }; }): number =>
    cpu.user + cpu.system;

const measureNodes = async (mesh: Mesh, work: () => Promise<unknown>): Promise<NodeCosts> => {
    const before = await statusesOf(mesh);
    const startedMs = performance.now();
    await work();
    const after = await statusesOf(mesh);
    const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
    const sent = after.map(({ traffic }, index) => traffic.sentBytes - before[index].traffic.sentBytes);
    const busy = after.map((status, index) => cpuOf(status) - cpuOf(before[index]));
    return {
        bytesPerSecond: average(sent) / seconds,
        cpuShare: average(busy) / MICROSECONDS_PER_SECOND / seconds,
        residentMegabytes: average(after.map(({ memory }) => memory.rss)) / BYTES_PER_MEGABYTE,
    };
};

const applyChanges = async (mesh: Mesh, count: number): Promise<readonly number[]> => {
    const operator = new MeshOperator(mesh);
    const times: number[] = [];
    for (let change = 0; change < count; change += 1) {
        const version = await operator.apply(entryOf("map", { backendVersion: "v1", timeoutMs: 1_000 + change }));
        const { revision } = await operator.ended("map", version);
        // The first revision of the change is the one that brings the new content.
        times.push(convergenceMs(mesh, "map", revision - 1) ?? 0);
    }
    return times;
};

/** Real node processes: costs of a node by the number of nodes, idle and with changes, and convergence. */
const measureByNodes = async (seed: number): Promise<readonly CapacityReport[]> => {
    const idle: NodeCosts[] = [];
    const changing: NodeCosts[] = [];
    const convergence: number[] = [];
    for (const count of NODE_COUNTS) {
        const size = { zones: 4, hostsPerZone: count / 4, services: ["map"], seed, withFaults: false };
        await sampleMesh(size, async (mesh) => {
            await applyChanges(mesh, 1);
            await pause(SETTLE_MS);
            idle.push(await measureNodes(mesh, () => pause(MEASURE_MS)));
            let times: readonly number[] = [];
            changing.push(
                await measureNodes(mesh, async () => {
                    times = await applyChanges(mesh, CHANGES);
                }),
            );
            convergence.push(percentile(times, 1) ?? 0);
        });
    }
    const points = (costs: readonly NodeCosts[], of: (cost: NodeCosts) => number): Points =>
        costs.map((cost, index) => ({ x: NODE_COUNTS[index], y: of(cost) }));
    return [
        report("control bytes of an idle node", "nodes", "B/s", points(idle, ({ bytesPerSecond }) => bytesPerSecond)),
        report(
            "processor time of an idle node",
            "nodes",
            "% of a core",
            points(idle, ({ cpuShare }) => cpuShare * 100),
        ),
        report("resident memory of an idle node", "nodes", "MB", points(idle, (cost) => cost.residentMegabytes)),
        report("control bytes, changes back to back", "nodes", "B/s", points(changing, (cost) => cost.bytesPerSecond)),
        report(
            "processor time, changes back to back",
            "nodes",
            "% of a core",
            points(changing, (cost) => cost.cpuShare * 100),
        ),
        report("slowest convergence", "nodes", "ms", convergence.map((y, index) => ({ x: NODE_COUNTS[index], y }))),
    ];
};

/** Calls through one node: processor time and added latency by rate. */
const measureByCalls = (seed: number): Promise<readonly CapacityReport[]> =>
    sampleMesh(
        { zones: 1, hostsPerZone: 2, services: ["map"], seed, withFaults: false, latencyMs: 4 },
        async (mesh) => {
            await applyChanges(mesh, 1);
            await pause(SETTLE_MS);
            const load = (target: string, requestsPerSecond: number) =>
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
            const added50: { readonly x: number; readonly y: number; }[] = [];
            const added99: { readonly x: number; readonly y: number; }[] = [];
            await load(mesh.callerAddresses[0], CALL_RATES[1]);
            for (const x of CALL_RATES) {
                const direct = await load(mesh.hosts[0].backends[0].boundAddress, x);
                const before = await mesh.nodeStatus("node-1");
                const through = await load(mesh.callerAddresses[0], x);
                const after = await mesh.nodeStatus("node-1");
                const busy = after && before ? cpuOf(after) - cpuOf(before) : 0;
                cpu.push({ x, y: (busy / MICROSECONDS_PER_SECOND / (MEASURE_MS / MS_PER_SECOND)) * 100 });
                added50.push({ x, y: through.latencyMs.p50 - direct.latencyMs.p50 });
                added99.push({ x, y: through.latencyMs.p99 - direct.latencyMs.p99 });
            }
            return [
                report("processor time of a node with calls", "calls a second", "% of a core", cpu),
                report("added latency, median", "calls a second", "ms", added50),
                report("added latency, 99 in 100", "calls a second", "ms", added99),
            ];
        },
    );

const entryFor = (service: string, backendVersion: string): CatalogueEntry =>
    parseEntry(entryOf(service, { backendVersion }), Date.now());

const stateOf = (entries: number): ResourceState => {
    const contents = new Map<string, CatalogueEntry["content"]>();
    const resources = new Map<
        string,
        ResourceState["resources"] extends ReadonlyMap<string, infer Resource> ? Resource : never
    >();
    for (let index = 1; index <= entries; index += 1) {
        const service = `service-${index}`;
        const entry = entryFor(service, `v${index}`);
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

/** One relay's catch-up from nothing: processor time at both ends and bytes, by the number of entries. */
const measureByEntries = (): readonly CapacityReport[] => {
    const rows = ENTRY_COUNTS.map((x) => {
        const state = stateOf(x);
        const subscription = { services: new Set(state.resources.keys()), held: new Map(), sourceRevision: 0 };
        const startedMs = performance.now();
        const { update } = computeUpdate(state, subscription);
        const bytes = createSessionCodec().encode(update).length;
        const sentMs = performance.now();
        if (update) {
            acceptUpdate(emptyResources, update);
        }
        return { x, bytes, send: sentMs - startedMs, accept: performance.now() - sentMs };
    });
    return [
        report("catch-up from nothing", "entries", "B", rows.map(({ bytes, x }) => ({ x, y: bytes }))),
        report("catch-up from nothing, parent", "entries", "ms", rows.map(({ send, x }) => ({ x, y: send }))),
        report("catch-up from nothing, child", "entries", "ms", rows.map(({ accept, x }) => ({ x, y: accept }))),
    ];
};

const memberOf = (index: number): MemberRecord => ({
    id: `node-${index}`,
    zone: `zone-${index % 17}`,
    incarnation: 1_700_000_000_000 + index,
    sequence: 3,
    status: MemberStatus.Alive,
    peerAddress: `10.0.${index >> 8}.${index & 255}:7001`,
    inboundAddress: `10.0.${index >> 8}.${index & 255}:7003`,
    endpoints: [],
});

/** The members as one node keeps them: memory, bytes of a full exchange, and time to take one change in. */
const measureByMembers = (): readonly CapacityReport[] => {
    const rows = MEMBER_COUNTS.map((x) => {
        const records = Array.from({ length: x }, (_, index) => memberOf(index + 1));
        const before = process.memoryUsage().heapUsed;
        const decoded = createSessionCodec().decode(createSessionCodec().encode(records)) as readonly MemberRecord[];
        const state = membershipChanges.merge(membershipChanges.create(memberOf(0), 0), decoded, 0).state;
        const megabytes = (process.memoryUsage().heapUsed - before) / BYTES_PER_MEGABYTE;
        const bytes = createSessionCodec().encode(records).length;
        const startedMs = performance.now();
        const repetitions = 20;
        for (let repetition = 0; repetition < repetitions; repetition += 1) {
            membershipChanges.merge(state, [{ ...records[0], sequence: 4 + repetition }], 0);
        }
        return { x, megabytes, bytes, change: (performance.now() - startedMs) / repetitions };
    });
    return [
        report("members in memory", "members", "MB", rows.map(({ megabytes, x }) => ({ x, y: megabytes }))),
        report("full exchange of members", "members", "B", rows.map(({ bytes, x }) => ({ x, y: bytes }))),
        report("taking in one member's change", "members", "ms", rows.map(({ change, x }) => ({ x, y: change }))),
    ];
};

/** A replica's start by the length of its log, and one synced append. */
const measureByLog = async (): Promise<readonly CapacityReport[]> => {
    const membership = { voters: [{ id: "a", address: "127.0.0.1:1" }], learners: [] };
    const entry = entryFor("map", "v1");
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
        const again = new FileReplicaStore(folder);
        const recoveredMs = performance.now();
        await again.recover(membership);
        recovery.push({ x, y: performance.now() - recoveredMs });
        await again.dispose();
        await rm(folder, { recursive: true, force: true });
    }
    return [
        report("recovery at start", "log entries", "ms", recovery),
        report("one synced append", "log entries", "ms", append),
    ];
};

/** Measures the slopes that docs/CAPACITY.md works with. */
export const measureCapacity = async (seed: number): Promise<readonly CapacityReport[]> => [
    ...measureByEntries(),
    ...measureByMembers(),
    ...await measureByLog(),
    ...await measureByCalls(seed),
    ...await measureByNodes(seed),
];
