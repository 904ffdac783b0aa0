import { mkdir } from "node:fs/promises";
import { createServer } from "node:net";
import { join, resolve } from "node:path";
import { AdminClient } from "../cli/AdminClient";
import { Disposable } from "../core/Disposable";
import { pause } from "../core/pause";
import { RandomSource } from "../core/RandomSource";
import { FaultPlan } from "../load/FaultPlan";
import { noFault } from "../load/noFault";
import { StandInBackend } from "../load/StandInBackend";
import { parseAddress } from "../transport/parseAddress";
import { FaultProxy } from "./FaultProxy";
import { ManagedProcess } from "./ManagedProcess";
import { MeshSpecification } from "./MeshSpecification";

const CLUSTER_SECRET = "an-emulated-mesh-secret";
const OPERATOR_TOKEN = "operator-token";
const PROGRAM_FOLDER = resolve(__dirname, "..", "bin");
const WAIT_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;
/** Backend servers shed load above this multiple of their slots. */
const SHED_FACTOR = 4;

type HostSpecification = MeshSpecification["hosts"][number];

/** An IP:PORT that a process listens on and the one that others connect to; they differ if a proxy is between them. */
type ProcessAddress = {
    readonly listen: string;
    readonly advertised: string;
    readonly proxy: FaultProxy | undefined;
};

type Replica = {
    readonly id: string;
    readonly peer: ProcessAddress;
    readonly admin: ProcessAddress;
    readonly dataFolder: string;
    readonly process: ManagedProcess;
    /** The events that this replica logged, including those before restarts. */
    readonly history: () => readonly LogEvent[];
};

type LogEvent = ReadonlyMap<string, string>;

type Host = {
    readonly id: string;
    readonly zone: string;
    readonly ip: string;
    readonly peer: ProcessAddress;
    readonly inbound: ProcessAddress;
    readonly caller: ProcessAddress;
    readonly host: ProcessAddress;
    readonly process: ManagedProcess;
    readonly backends: readonly StandInBackend[];
    /** The events that this host's node logged, including those before restarts. */
    readonly history: () => readonly LogEvent[];
};

const findFreePort = (host: string): Promise<number> =>
    new Promise((resolvePort, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const bound = server.address();
            server.close(() => resolvePort(typeof bound === "object" && bound ? bound.port : 0));
        });
    });

/**
 * Starts a mesh of real processes on loopback addresses. Each zone has its own IP range, so that a fault proxy can
 * identify the zone of a source. The stand-in backend servers run in the process that creates the mesh.
 */
export class Mesh implements Disposable {
    public readonly replicas: Replica[] = [];
    public readonly hosts: Host[] = [];
    private readonly networkNumber: number;
    private readonly zones: readonly string[];
    private readonly startedBackends: StandInBackend[] = [];
    private nodeStarts = 0;

    private constructor(public readonly specification: MeshSpecification) {
        // The range 127.N.0.0/16 depends on seed and process id, so that several meshes can run at the same time.
        this.networkNumber = 16 + ((specification.seed + process.pid) % 200);
        this.zones = [...new Set(specification.hosts.map(({ zone }) => zone))];
    }

    public static async start(specification: MeshSpecification): Promise<Mesh> {
        const mesh = new Mesh(specification);
        await mkdir(specification.folder, { recursive: true });
        await mesh.startReplicas();
        await mesh.startHosts(specification.hosts);
        return mesh;
    }

    public get admin(): AdminClient {
        return new AdminClient({ addresses: this.adminAddresses, token: OPERATOR_TOKEN });
    }

    public get adminAddresses(): readonly string[] {
        return this.replicas.map(({ admin }) => admin.advertised);
    }

    public get callerAddresses(): readonly string[] {
        return this.hosts.map(({ caller }) => caller.advertised);
    }

    /** All backend servers that were started, including stopped ones. */
    public get allBackends(): readonly StandInBackend[] {
        return this.startedBackends;
    }

    public get logFolder(): string {
        return this.specification.folder;
    }

    /**
     * Polls until the condition returns a truthy value, and returns that value.
     * @throws Error that contains the description if this takes longer than a minute
     */
    public async waitUntil<Value>(
        description: string,
        condition: () => Promise<Value | undefined | false>,
    ): Promise<Value> {
        const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
        while (performance.now() < deadlineMs) {
            const value = await condition();
            if (value) {
                return value;
            }
            await pause(POLL_INTERVAL_MS);
        }
        throw new Error(`timed out after ${WAIT_TIMEOUT_MS} ms waiting until ${description}`);
    }

    /** Waits for a leader that answers requests, and returns it. */
    public leader(): Promise<Replica> {
        return this.waitUntil("a replica leads", async () => {
            for (const replica of this.replicas) {
                const lastRoleChange = replica.process.history.findLast((event) =>
                    event.get("event") === "role-changed"
                );
                const claimsLeadership = replica.process.isRunning && lastRoleChange?.get("role") === "leader";
                if (claimsLeadership) {
                    const client = new AdminClient({ addresses: [replica.admin.advertised], token: OPERATOR_TOKEN });
                    const { status } = await client.call({ method: "GET", path: "/v1/status" });
                    return status === 200 ? replica : undefined;
                }
            }
            return undefined;
        });
    }

    /** Restarts a replica with its stored data. */
    public async restartReplica(id: string, join = false): Promise<void> {
        const index = this.replicas.findIndex((replica) => replica.id === id);
        const replica = this.replicas[index];
        const earlierEvents = replica.history();
        const restarted = this.spawnReplica(replica, join);
        this.replicas[index] = {
            ...replica,
            process: restarted,
            history: () => [...earlierEvents, ...restarted.history],
        };
        await this.waitForReplica(id);
    }

    /** Starts an additional replica. An operator must then add it to the consensus group. */
    public async addReplica(id: string): Promise<Replica> {
        const replica = await this.prepareReplica(id, this.replicas.length + 1);
        const managed = this.spawnReplica(replica, true);
        const started = { ...replica, process: managed, history: () => managed.history };
        this.replicas.push(started);
        await this.waitForReplica(id);
        return this.replicas[this.replicas.length - 1];
    }

    /** Restarts the node of a host. */
    public async restartHost(id: string): Promise<void> {
        const index = this.hosts.findIndex((host) => host.id === id);
        const host = this.hosts[index];
        const earlierEvents = host.history();
        const restarted = this.spawnNode(host);
        this.hosts[index] = { ...host, process: restarted, history: () => [...earlierEvents, ...restarted.history] };
        await this.waitForNode(id);
    }

    public findHost(id: string): Host {
        const host = this.hosts.find((candidate) => candidate.id === id);
        if (!host) {
            throw new Error(`the mesh has no host ${id}`);
        }
        return host;
    }

    /** Blocks requests and peer connections between a zone and the rest of the mesh, control replicas included. */
    public isolateZone(zone: string): void {
        const prefix = this.zonePrefix(zone);
        for (const { inbound, peer, zone: hostZone } of this.hosts) {
            const isInside = hostZone === zone;
            [peer, inbound].forEach(({ proxy }) =>
                proxy?.blockSources((source) => source.startsWith(prefix) !== isInside)
            );
        }
        this.replicas.forEach(({ peer }) => peer.proxy?.blockSources((source) => source.startsWith(prefix)));
    }

    /** Ends the faults of all proxies, with the exceptions of `FaultProxy.endFaults`. */
    public endFaults(): void {
        this.hosts.forEach(({ inbound, peer }) => [inbound, peer].forEach(({ proxy }) => proxy?.endFaults()));
        this.replicas.forEach(({ admin, peer }) => [admin, peer].forEach(({ proxy }) => proxy?.endFaults()));
    }

    /** Starts an additional stand-in backend server on a host. */
    public async startBackend(
        hostId: string,
        { backendVersion, latencyMs, service, slots }: HostSpecification["backends"][number],
        fault: FaultPlan = noFault,
    ): Promise<StandInBackend> {
        const index = this.hosts.findIndex(({ id }) => id === hostId);
        const host = this.hosts[index];
        const backend = new StandInBackend({
            service,
            backendVersion,
            slots,
            latencyMs,
            listen: { host: host.ip, port: 0 },
            hostAddress: host.host.advertised,
            coldLatencyMs: 0,
            warmUpMs: 0,
            healthLagMs: 0,
            fault,
            shedFactor: SHED_FACTOR,
            seed: this.specification.seed + index,
        });
        await backend.start();
        this.hosts[index] = { ...host, backends: [...host.backends, backend] };
        this.startedBackends.push(backend);
        return backend;
    }

    public async stopBackend(hostId: string, backend: StandInBackend): Promise<void> {
        const index = this.hosts.findIndex(({ id }) => id === hostId);
        const host = this.hosts[index];
        this.hosts[index] = { ...host, backends: host.backends.filter((other) => other !== backend) };
        await backend.dispose();
    }

    /** Returns the status that a node reports, or undefined if it does not answer. */
    public async nodeStatus(id: string): Promise<NodeStatus | undefined> {
        try {
            const answer = await fetch(`http://${this.findHost(id).host.advertised}/v1/status`);
            return (await answer.json()) as NodeStatus;
        }
        catch {
            return undefined;
        }
    }

    public async dispose(): Promise<void> {
        const running = [...this.replicas, ...this.hosts].map(({ process: managed }) => managed);
        await Promise.all(this.hosts.flatMap(({ backends }) => backends.map((backend) => backend.dispose())));
        await Promise.all(running.filter(({ isRunning }) => isRunning).map((managed) => managed.end("SIGKILL")));
        const addresses = [
            ...this.replicas.flatMap(({ admin, peer }) => [admin, peer]),
            ...this.hosts.flatMap(({ caller, host, inbound, peer }) => [caller, host, inbound, peer]),
        ];
        await Promise.all(addresses.map(({ proxy }) => proxy?.dispose()));
    }

    private zonePrefix(zone: string): string {
        return `127.${this.networkNumber}.${this.zones.indexOf(zone) + 1}.`;
    }

    /**
     * With faults, the process listens on any free port and others connect to the proxy, whose address stays the same
     * when the process restarts. Without faults, `reserve` chooses a free port before the process starts, for addresses
     * that other processes need by then; any other port is known once the process has started.
     */
    private async openAddress(ip: string, reserve: boolean): Promise<ProcessAddress> {
        if (this.specification.withFaults) {
            const proxy = new FaultProxy();
            const { host, port } = await proxy.listen(ip);
            return { listen: `${ip}:0`, advertised: `${host}:${port}`, proxy };
        }
        const address = `${ip}:${reserve ? await findFreePort(ip) : 0}`;
        return { listen: address, advertised: address, proxy: undefined };
    }

    private async startReplicas(): Promise<void> {
        for (let index = 1; index <= this.specification.controls; index += 1) {
            this.replicas.push(await this.prepareReplica(`control-${index}`, index));
        }
        const started = this.replicas.map((replica) => {
            const managed = this.spawnReplica(replica, false);
            return { ...replica, process: managed, history: () => managed.history };
        });
        this.replicas.splice(0, started.length, ...started);
        await Promise.all(this.replicas.map(({ id }) => this.waitForReplica(id)));
    }

    private async prepareReplica(id: string, index: number): Promise<Replica> {
        const ip = `127.${this.networkNumber}.0.${index}`;
        return {
            id,
            peer: await this.openAddress(ip, true),
            admin: await this.openAddress(ip, false),
            dataFolder: join(this.specification.folder, `data-${id}`),
            process: undefined as unknown as ManagedProcess,
            history: () => [],
        };
    }

    private spawnReplica({ admin, dataFolder, id, peer }: Replica, join: boolean): ManagedProcess {
        const initialReplicas = this.replicas.slice(0, this.specification.controls);
        const { seed, snapshotEvery } = this.specification;
        return this.spawn(id, "filbertdeal-control.js", [
            ["--id", id],
            ["--peer-address", peer.listen],
            ["--admin-address", admin.listen],
            ["--data-folder", dataFolder],
            ["--replicas", initialReplicas.map((replica) => `${replica.id}=${replica.peer.advertised}`).join(",")],
            ["--secret", CLUSTER_SECRET],
            ["--operators", `operator:${OPERATOR_TOKEN}:*:*`],
            ["--seed", String(seed + Number(id.split("-").at(-1)))],
            ...(snapshotEvery ? [["--snapshot-every", String(snapshotEvery)]] : []),
            ...(join ? [["--join"]] : []),
        ]);
    }

    /** Waits until a replica has started, and records the addresses that it listens on. */
    private async waitForReplica(id: string): Promise<void> {
        const index = this.replicas.findIndex((replica) => replica.id === id);
        const event = await this.replicas[index].process.waitFor("control-started");
        const replica = this.replicas[index];
        this.replicas[index] = {
            ...replica,
            peer: this.withBoundAddress(replica.peer, event.get("peerAddress")),
            admin: this.withBoundAddress(replica.admin, event.get("adminAddress")),
        };
    }

    private async startHosts(specifications: readonly HostSpecification[]): Promise<void> {
        for (const [index, { id, zone }] of specifications.entries()) {
            const ip = `${this.zonePrefix(zone)}${index + 1}`;
            const host: Host = {
                id,
                zone,
                ip,
                peer: await this.openAddress(ip, true),
                inbound: await this.openAddress(ip, false),
                caller: await this.openAddress(ip, false),
                host: await this.openAddress(ip, false),
                process: undefined as unknown as ManagedProcess,
                backends: [],
                history: () => [],
            };
            this.hosts.push(host);
        }
        const started = this.hosts.map((host): Host => {
            const managed = this.spawnNode(host);
            return { ...host, process: managed, history: () => managed.history };
        });
        this.hosts.splice(0, started.length, ...started);
        await Promise.all(this.hosts.map(({ id }) => this.waitForNode(id)));
        for (const { backends, id } of specifications) {
            for (const backend of backends) {
                await this.startBackend(id, backend);
            }
        }
    }

    private spawnNode(host: Host): ManagedProcess {
        const seedHosts = this.zones.flatMap((zone) => this.hosts.filter((other) => other.zone === zone).slice(0, 2));
        this.nodeStarts += 1;
        return this.spawn(host.id, "filbertdeal-node.js", [
            ["--id", host.id],
            ["--zone", host.zone],
            ["--peer-address", host.peer.listen],
            ["--inbound-address", host.inbound.listen],
            ["--caller-address", host.caller.listen],
            ["--host-address", host.host.listen],
            ["--advertise-peer", host.peer.advertised],
            ...(host.inbound.proxy ? [["--advertise-inbound", host.inbound.advertised]] : []),
            ["--controls", this.replicas.map(({ peer }) => peer.advertised).join(",")],
            ["--seeds", seedHosts.map(({ peer }) => peer.advertised).join(",")],
            ["--services", this.specification.services.join(",")],
            ["--secret", CLUSTER_SECRET],
            ["--seed", String(new RandomSource(this.specification.seed + this.nodeStarts).integer(1, 1_000_000))],
        ]);
    }

    /** Waits until a host's node has started, and records the addresses that it listens on. */
    private async waitForNode(id: string): Promise<void> {
        const index = this.hosts.findIndex((host) => host.id === id);
        const event = await this.hosts[index].process.waitFor("node-started");
        const host = this.hosts[index];
        this.hosts[index] = {
            ...host,
            peer: this.withBoundAddress(host.peer, event.get("peerAddress")),
            inbound: this.withBoundAddress(host.inbound, event.get("inboundAddress")),
            caller: this.withBoundAddress(host.caller, event.get("callerAddress")),
            host: this.withBoundAddress(host.host, event.get("hostAddress")),
        };
    }

    /** Makes the proxy forward to the address that the process listens on. Without a proxy, advertises that address. */
    private withBoundAddress(processAddress: ProcessAddress, boundAddress = ""): ProcessAddress {
        const target = parseAddress(boundAddress);
        if (processAddress.proxy && target) {
            processAddress.proxy.forwardTo(target);
            return processAddress;
        }
        return { ...processAddress, listen: boundAddress, advertised: boundAddress };
    }

    private spawn(name: string, program: string, flags: readonly (readonly string[])[]): ManagedProcess {
        const logPath = join(this.specification.folder, `${name}.log`);
        return new ManagedProcess(name, join(PROGRAM_FOLDER, program), flags.flat(), logPath);
    }
}

/** The fields of a node's status that experiments read. `cpu` is in microseconds, `memory` and `traffic` in bytes. */
type NodeStatus = {
    readonly sourceRevision: number;
    readonly serving: boolean;
    readonly parent: string | undefined;
    readonly children: number;
    readonly servedRequests: number;
    readonly resources: readonly { readonly service: string; readonly revision: number; }[];
    readonly traffic: { readonly sentBytes: number; readonly receivedBytes: number; };
    readonly memory: { readonly rss: number; readonly heapUsed: number; };
    readonly cpu: { readonly user: number; readonly system: number; };
};
