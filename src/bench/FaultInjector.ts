import { pause } from "../core/pause";
import { Mesh } from "../emulator/Mesh";
import { FaultKind } from "./FaultKind";
import { ScheduledFault } from "./ScheduledFault";

/** The share of the nodes that a herd restart kills at once. */
const HERD_SHARE = 1 / 3;

/** Brings scheduled faults about on a mesh and undoes them. */
export class FaultInjector {
    /** Faults and repairs run one after the other where they touch the same processes. */
    private readonly injected: ScheduledFault[] = [];

    public constructor(private readonly mesh: Mesh) {}

    public get history(): readonly ScheduledFault[] {
        return this.injected;
    }

    public async inject(fault: ScheduledFault): Promise<void> {
        await pause(fault.afterMs);
        this.injected.push(fault);
        switch (fault.kind) {
            case FaultKind.ReplicaKill:
                return this.killReplicas([fault.choice % this.mesh.replicas.length], fault.durationMs);
            case FaultKind.SourceOutage:
                return this.killReplicas([...this.mesh.replicas.keys()], fault.durationMs);
            case FaultKind.HerdRestart:
                return this.restartHerd(fault);
            case FaultKind.ZonePartition:
                return this.partition(fault);
            case FaultKind.SilentConnections:
                this.silence();
        }
    }

    private async killReplicas(indexes: readonly number[], durationMs: number): Promise<void> {
        const running = indexes.map((index) => this.mesh.replicas[index]).filter((replica) =>
            replica.process.isRunning
        );
        await Promise.all(running.map((replica) => replica.process.end("SIGKILL")));
        await pause(durationMs);
        await Promise.all(running.map(({ id }) => this.mesh.startReplica(id)));
    }

    /** Callers that enter by a killed node see its connections break, as they would in the field. */
    private async restartHerd({ choice, durationMs }: ScheduledFault): Promise<void> {
        const { hosts } = this.mesh;
        const count = Math.floor(hosts.length * HERD_SHARE);
        const offset = choice % hosts.length;
        const victims = Array.from({ length: count }, (_, index) => hosts[(offset + index * 2) % hosts.length]);
        const running = victims.filter((host) => host.process.isRunning);
        await Promise.all(running.map((host) => host.process.end("SIGKILL")));
        await pause(durationMs / 2);
        await Promise.all(running.map(({ id }) => this.mesh.restartHost(id)));
    }

    private async partition({ choice, durationMs }: ScheduledFault): Promise<void> {
        const zones = [...new Set(this.mesh.hosts.map(({ zone }) => zone))];
        this.mesh.cutZone(zones[choice % zones.length]);
        await pause(durationMs);
        this.mesh.healAll();
    }

    private silence(): void {
        for (const { inbound, peer } of this.mesh.hosts) {
            [inbound, peer].forEach(({ proxy }) => proxy?.silenceOpen());
        }
        this.mesh.replicas.forEach(({ peer }) => peer.proxy?.silenceOpen());
    }
}
