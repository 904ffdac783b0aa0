import { pause } from "../core/pause";
import { Mesh } from "../emulator/Mesh";
import { FaultKind } from "./FaultKind";
import { ScheduledFault } from "./ScheduledFault";

/** Share of the nodes that a herd restart kills at once. */
const RESTARTED_SHARE = 1 / 3;

/**
 * Injects scheduled faults into a mesh and ends them. Faults may overlap: each one kills only processes that are
 * running, and restarts only the processes that it has killed.
 */
export class FaultInjector {
    /** The faults injected so far, in the order in which they began. */
    private readonly injected: ScheduledFault[] = [];

    public constructor(private readonly mesh: Mesh) {}

    public get history(): readonly ScheduledFault[] {
        return this.injected;
    }

    /** Waits until the fault is due, injects it and resolves after it has ended. */
    public async inject(fault: ScheduledFault): Promise<void> {
        await pause(fault.afterMs);
        this.injected.push(fault);
        switch (fault.kind) {
            case FaultKind.ReplicaKill:
                return this.killReplicas([fault.choice % this.mesh.replicas.length], fault.durationMs);
            case FaultKind.SourceOutage:
                return this.killReplicas([...this.mesh.replicas.keys()], fault.durationMs);
            case FaultKind.HerdRestart:
                return this.restartNodes(fault);
            case FaultKind.ZonePartition:
                return this.isolateZone(fault);
            case FaultKind.SilentConnections:
                this.silenceConnections();
        }
    }

    private async killReplicas(indexes: readonly number[], durationMs: number): Promise<void> {
        const running = indexes.map((index) => this.mesh.replicas[index]).filter((replica) =>
            replica.process.isRunning
        );
        await Promise.all(running.map((replica) => replica.process.end("SIGKILL")));
        await pause(durationMs);
        await Promise.all(running.map(({ id }) => this.mesh.restartReplica(id)));
    }

    /** Kills and restarts some nodes. Callers of a killed node lose their connections to it, as in production. */
    private async restartNodes({ choice, durationMs }: ScheduledFault): Promise<void> {
        const { hosts } = this.mesh;
        const count = Math.floor(hosts.length * RESTARTED_SHARE);
        const offset = choice % hosts.length;
        const chosenHosts = Array.from({ length: count }, (_, index) => hosts[(offset + index * 2) % hosts.length]);
        const running = chosenHosts.filter((host) => host.process.isRunning);
        await Promise.all(running.map((host) => host.process.end("SIGKILL")));
        await pause(durationMs / 2);
        await Promise.all(running.map(({ id }) => this.mesh.restartHost(id)));
    }

    private async isolateZone({ choice, durationMs }: ScheduledFault): Promise<void> {
        const zones = [...new Set(this.mesh.hosts.map(({ zone }) => zone))];
        this.mesh.isolateZone(zones[choice % zones.length]);
        await pause(durationMs);
        this.mesh.endFaults();
    }

    private silenceConnections(): void {
        for (const { inbound, peer } of this.mesh.hosts) {
            [inbound, peer].forEach(({ proxy }) => proxy?.silenceOpenConnections());
        }
        this.mesh.replicas.forEach(({ peer }) => peer.proxy?.silenceOpenConnections());
    }
}
