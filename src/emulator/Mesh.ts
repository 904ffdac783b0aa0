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

const SECRET = "an-emulated-mesh-secret";
const TOKEN = "operator-token";
const PROGRAMS = resolve(__dirname, "..", "bin");
const DEADLINE_MS = 60_000;
const POLL_MS = 50;
const SHED_FACTOR = 4;

type HostSpecification = MeshSpecification["hosts"][number];

/** A listening address of a process and the address that others use for it. */
type Port = {
    readonly listen: string;
    readonly advertised: string;
    readonly proxy: FaultProxy | undefined;
};

type Replica = {
    readonly id: string;
    readonly peer: Port;
    readonly admin: Port;
    readonly dataFolder: string;
    readonly process: ManagedProcess;
    /** The events of this replica over all its restarts. */
    readonly history: () => readonly LogEvent[];
};

type LogEvent = ReadonlyMap<string, string>;

type Host = {
    readonly id: string;
    readonly zone: string;
    readonly ip: string;
    readonly peer: Port;
    readonly inbound: Port;
    readonly caller: Port;
    readonly host: Port;
    readonly process: ManagedProcess;
    readonly backends: readonly StandInBackend[];
    /** The events of this host's node over all its restarts. */
    readonly history: () => readonly LogEvent[];
};

const freePort = (host: string): Promise<number> =>
    new Promise((done, fail) => {
        const server = createServer();
        server.once("error", fail);
        server.listen(0, host, () => {
            const bound = server.address();
            server.close(() => done(typeof bound === "object" && bound ? bound.port : 0));
        });
    });

/**
 * A mesh of real processes on loopback addresses. Each zone has an IP range of its own, so that proxies can tell who
 * connects; backend servers run in this process.
 */
export class Mesh implements Disposable {
    public readonly replicas: Replica[] = [];
    public readonly hosts: Host[] = [];
    private readonly network: number;
    private readonly zones: readonly string[];
    private readonly started: StandInBackend[] = [];
    private starts = 0;

    private constructor(public readonly specification: MeshSpecification) {
        // A range of its own for each mesh, so that several can run at the same time.
        this.network = 16 + ((specification.seed + process.pid) % 200);
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
        return new AdminClient({ addresses: this.adminAddresses, token: TOKEN });
    }

    public get adminAddresses(): readonly string[] {
        return this.replicas.map(({ admin }) => admin.advertised);
    }

    public get callerAddresses(): readonly string[] {
        return this.hosts.map(({ caller }) => caller.advertised);
    }

    /** Every backend server that was ever started, also those that were stopped. */
    public get allBackends(): readonly StandInBackend[] {
        return this.started;
    }

    public get logFolder(): string {
        return this.specification.folder;
    }

    /** Waits until a condition holds. Throws with `what` if it does not within a minute. */
    public async until<Value>(what: string, condition: () => Promise<Value | undefined | false>): Promise<Value> {
        const limitMs = performance.now() + DEADLINE_MS;
        while (performance.now() < limitMs) {
            const value = await condition();
            if (value) {
                return value;
            }
            await pause(POLL_MS);
        }
        throw new Error(`waited ${DEADLINE_MS} ms in vain until ${what}`);
    }

    /** The replica that leads now. */
    public leader(): Promise<Replica> {
        return this.until("a replica leads", async () => {
            for (const replica of this.replicas) {
                const last = replica.process.history.findLast((event) => event.get("event") === "role-changed");
                const confirmed = replica.process.isRunning && last?.get("role") === "leader";
                if (confirmed) {
                    const client = new AdminClient({ addresses: [replica.admin.advertised], token: TOKEN });
                    const { status } = await client.call({ method: "GET", path: "/v1/status" });
                    return status === 200 ? replica : undefined;
                }
            }
            return undefined;
        });
    }

    public async startReplica(id: string, join = false): Promise<void> {
        const index = this.replicas.findIndex((replica) => replica.id === id);
        const replica = this.replicas[index];
        const earlier = replica.history();
        const restarted = this.spawnReplica(replica, join);
        this.replicas[index] = {
            ...replica,
            process: restarted,
            history: () => [...earlier, ...restarted.history],
        };
        await this.connectReplica(id);
    }

    /** Adds a replica that an operator must then add to the group. */
    public async addReplica(id: string): Promise<Replica> {
        const replica = await this.prepareReplica(id, this.replicas.length + 1);
        const managed = this.spawnReplica(replica, true);
        const started = { ...replica, process: managed, history: () => managed.history };
        this.replicas.push(started);
        await this.connectReplica(id);
        return this.replicas[this.replicas.length - 1];
    }

    public async restartHost(id: string): Promise<void> {
        const index = this.hosts.findIndex((host) => host.id === id);
        const host = this.hosts[index];
        const earlier = host.history();
        const restarted = this.spawnHost(host);
        this.hosts[index] = { ...host, process: restarted, history: () => [...earlier, ...restarted.history] };
        await this.connectHost(id);
    }

    public hostOf(id: string): Host {
        const host = this.hosts.find((candidate) => candidate.id === id);
        if (!host) {
            throw new Error(`there is no host ${id}`);
        }
        return host;
    }

    /** Cuts a zone off from all other zones and from control, for the system's processes and for requests. */
    public cutZone(zone: string): void {
        const prefix = this.zonePrefix(zone);
        for (const { inbound, peer, zone: other } of this.hosts) {
            const isInside = other === zone;
            [peer, inbound].forEach(({ proxy }) => proxy?.cut((source) => source.startsWith(prefix) !== isInside));
        }
        this.replicas.forEach(({ peer }) => peer.proxy?.cut((source) => source.startsWith(prefix)));
    }

    public healAll(): void {
        this.hosts.forEach(({ inbound, peer }) => [inbound, peer].forEach(({ proxy }) => proxy?.heal()));
        this.replicas.forEach(({ admin, peer }) => [admin, peer].forEach(({ proxy }) => proxy?.heal()));
    }

    /** Starts a stand-in backend server on a host, beside those that it has. */
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
        this.started.push(backend);
        return backend;
    }

    public async stopBackend(hostId: string, backend: StandInBackend): Promise<void> {
        const index = this.hosts.findIndex(({ id }) => id === hostId);
        const host = this.hosts[index];
        this.hosts[index] = { ...host, backends: host.backends.filter((other) => other !== backend) };
        await backend.dispose();
    }

    /** The status that a node gives of itself, or undefined if it does not answer. */
    public async nodeStatus(id: string): Promise<NodeStatus | undefined> {
        try {
            const answer = await fetch(`http://${this.hostOf(id).host.advertised}/v1/status`);
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
        const ports = [
            ...this.replicas.flatMap(({ admin, peer }) => [admin, peer]),
            ...this.hosts.flatMap(({ caller, host, inbound, peer }) => [caller, host, inbound, peer]),
        ];
        await Promise.all(ports.map(({ proxy }) => proxy?.dispose()));
    }

    private zonePrefix(zone: string): string {
        return `127.${this.network}.${this.zones.indexOf(zone) + 1}.`;
    }

    /**
     * With faults the process takes a free port and the proxy has the address that others use, also after a restart.
     * Without, a port that others must know beforehand is reserved; any other is known once the process has started.
     */
    private async openPort(ip: string, reserve: boolean): Promise<Port> {
        if (this.specification.withFaults) {
            const proxy = new FaultProxy();
            const { host, port } = await proxy.listen(ip);
            return { listen: `${ip}:0`, advertised: `${host}:${port}`, proxy };
        }
        const address = `${ip}:${reserve ? await freePort(ip) : 0}`;
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
        await Promise.all(this.replicas.map(({ id }) => this.connectReplica(id)));
    }

    private async prepareReplica(id: string, index: number): Promise<Replica> {
        const ip = `127.${this.network}.0.${index}`;
        return {
            id,
            peer: await this.openPort(ip, true),
            admin: await this.openPort(ip, false),
            dataFolder: join(this.specification.folder, `data-${id}`),
            process: undefined as unknown as ManagedProcess,
            history: () => [],
        };
    }

    private spawnReplica({ admin, dataFolder, id, peer }: Replica, join: boolean): ManagedProcess {
        const group = this.replicas.slice(0, this.specification.controls);
        const { seed, snapshotEvery } = this.specification;
        return this.spawn(id, "filbertdeal-control.js", [
            ["--id", id],
            ["--peer-address", peer.listen],
            ["--admin-address", admin.listen],
            ["--data-folder", dataFolder],
            ["--replicas", group.map((replica) => `${replica.id}=${replica.peer.advertised}`).join(",")],
            ["--secret", SECRET],
            ["--operators", `operator:${TOKEN}:*:*`],
            ["--seed", String(seed + Number(id.split("-").at(-1)))],
            ...(snapshotEvery ? [["--snapshot-every", String(snapshotEvery)]] : []),
            ...(join ? [["--join"]] : []),
        ]);
    }

    private async connectReplica(id: string): Promise<void> {
        const index = this.replicas.findIndex((replica) => replica.id === id);
        const event = await this.replicas[index].process.waitFor("control-started");
        const replica = this.replicas[index];
        this.replicas[index] = {
            ...replica,
            peer: this.connect(replica.peer, event.get("peerAddress")),
            admin: this.connect(replica.admin, event.get("adminAddress")),
        };
    }

    private async startHosts(specifications: readonly HostSpecification[]): Promise<void> {
        for (const [index, { id, zone }] of specifications.entries()) {
            const ip = `${this.zonePrefix(zone)}${index + 1}`;
            const host: Host = {
                id,
                zone,
                ip,
                peer: await this.openPort(ip, true),
                inbound: await this.openPort(ip, false),
                caller: await this.openPort(ip, false),
                host: await this.openPort(ip, false),
                process: undefined as unknown as ManagedProcess,
                backends: [],
                history: () => [],
            };
            this.hosts.push(host);
        }
        const started = this.hosts.map((host): Host => {
            const managed = this.spawnHost(host);
            return { ...host, process: managed, history: () => managed.history };
        });
        this.hosts.splice(0, started.length, ...started);
        await Promise.all(this.hosts.map(({ id }) => this.connectHost(id)));
        for (const { backends, id } of specifications) {
            for (const backend of backends) {
                await this.startBackend(id, backend);
            }
        }
    }

    private spawnHost(host: Host): ManagedProcess {
        const seeds = this.zones.flatMap((zone) => this.hosts.filter((other) => other.zone === zone).slice(0, 2));
        this.starts += 1;
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
            ["--seeds", seeds.map(({ peer }) => peer.advertised).join(",")],
            ["--services", this.specification.services.join(",")],
            ["--secret", SECRET],
            ["--seed", String(new RandomSource(this.specification.seed + this.starts).integer(1, 1_000_000))],
        ]);
    }

    private async connectHost(id: string): Promise<void> {
        const index = this.hosts.findIndex((host) => host.id === id);
        const event = await this.hosts[index].process.waitFor("node-started");
        const host = this.hosts[index];
        this.hosts[index] = {
            ...host,
            peer: this.connect(host.peer, event.get("peerAddress")),
            inbound: this.connect(host.inbound, event.get("inboundAddress")),
            caller: this.connect(host.caller, event.get("callerAddress")),
            host: this.connect(host.host, event.get("hostAddress")),
        };
    }

    /** Leads the proxy to the address that the process listens on; without a proxy, that is the address in use. */
    private connect(port: Port, address = ""): Port {
        const target = parseAddress(address);
        if (port.proxy && target) {
            port.proxy.forwardTo(target);
            return port;
        }
        return { ...port, listen: address, advertised: address };
    }

    private spawn(name: string, program: string, flags: readonly (readonly string[])[]): ManagedProcess {
        const logPath = join(this.specification.folder, `${name}.log`);
        return new ManagedProcess(name, join(PROGRAMS, program), flags.flat(), logPath);
    }
}

/** The part of a node's status that experiments read. */
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
