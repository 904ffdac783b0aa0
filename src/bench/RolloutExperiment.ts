import { pause } from "../core/pause";
import { convergenceMs } from "../emulator/convergenceMs";
import { Mesh } from "../emulator/Mesh";
import { MeshOperator } from "../emulator/MeshOperator";
import { revisionHistory } from "../emulator/revisionHistory";
import { LoadRunner } from "../load/LoadRunner";
import { noFault } from "../load/noFault";
import { StandInBackend } from "../load/StandInBackend";
import { BadVersionKind } from "./BadVersionKind";
import { benchEntry } from "./benchEntry";
import { FaultInjector } from "./FaultInjector";
import { FaultKind } from "./FaultKind";
import { faultOfBadVersion } from "./faultOfBadVersion";
import { Firm } from "./Firm";
import { RolloutMeasurement } from "./RolloutMeasurement";
import { RolloutsReport } from "./RolloutsReport";
import { scheduleFaults } from "./scheduleFaults";

const REQUESTS_PER_SECOND = 200;
const MAXIMUM_RUN_MS = 600_000;
const IDLE_MEASURE_MS = 4_000;
const MS_PER_SECOND = 1_000;
const BACKEND_LATENCY_MS = 4;

/** A backend version that was started on each host of the service. */
type NewVersion = {
    readonly label: string;
    readonly backends: readonly StandInBackend[];
};

/** Rolls out good and bad versions of a service, one after the other, under load and faults. */
export class RolloutExperiment {
    private readonly operator: MeshOperator;
    private readonly injector: FaultInjector;
    private readonly load: LoadRunner;

    public constructor(
        private readonly mesh: Mesh,
        private readonly firm: Firm,
        private readonly faultKinds: readonly FaultKind[],
        private readonly seed: number,
    ) {
        this.operator = new MeshOperator(mesh);
        this.injector = new FaultInjector(mesh);
        this.load = new LoadRunner({
            targets: mesh.callerAddresses,
            service: firm.service,
            requestsPerSecond: REQUESTS_PER_SECOND,
            durationMs: MAXIMUM_RUN_MS,
            requests: [
                { method: "GET", path: firm.readPath, weight: 8 },
                { method: "GET", path: "/other", weight: 1 },
                { method: "POST", path: firm.orderPath, weight: 1 },
            ],
            timeoutMs: 1_000,
            seed,
            maximumConnections: 64,
        });
    }

    /** Runs one rollout for each item of the plan. `undefined` stands for a good version. */
    public async run(plan: readonly (BadVersionKind | undefined)[]): Promise<RolloutsReport> {
        await this.operator.waitUntilEnded(this.firm.service, await this.operator.apply(benchEntry(this.firm, "v0")));
        const idleNodeBytesPerSecond = await this.bytesPerSecond(() => pause(IDLE_MEASURE_MS));
        const running = this.load.run();
        const schedule = scheduleFaults(this.faultKinds, plan.length, this.seed);
        const measurements: RolloutMeasurement[] = [];
        const startedMs = performance.now();
        const nodeBytesPerSecond = await this.bytesPerSecond(async () => {
            for (const [rolloutIndex, bad] of plan.entries()) {
                const faults = schedule.filter((fault) => fault.move === rolloutIndex).map((fault) =>
                    this.injector.inject(fault)
                );
                measurements.push(await this.runRollout(rolloutIndex, bad));
                await Promise.all(faults);
            }
        });
        const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
        this.load.stop();
        const load = await running;
        const revisions = this.acceptedRevisions();
        const convergence = revisions.flatMap((revision) =>
            convergenceMs(this.mesh, this.firm.service, revision) ?? []
        );
        return {
            moves: measurements,
            faults: this.injector.history,
            convergenceMs: convergence,
            unmeasuredRevisions: revisions.length - convergence.length,
            nodeBytesPerSecond,
            idleNodeBytesPerSecond,
            bytesPerChange: ((nodeBytesPerSecond - idleNodeBytesPerSecond) * seconds) / Math.max(1, revisions.length),
            wentBack: revisionHistory.regressions(this.mesh).length,
            repeated: this.countRepeatedKeys(),
            load,
        };
    }

    private async runRollout(rolloutIndex: number, bad: BadVersionKind | undefined): Promise<RolloutMeasurement> {
        const newVersion = await this.startVersion(`v${rolloutIndex + 1}`, bad);
        const startedMs = performance.now();
        const before = this.load.progress;
        const version = await this.operator.apply(benchEntry(this.firm, newVersion.label));
        const { lastOutcome } = await this.operator.waitUntilEnded(this.firm.service, version);
        const durationMs = performance.now() - startedMs;
        const after = this.load.progress;
        const measurement: RolloutMeasurement = {
            move: rolloutIndex,
            bad,
            result: lastOutcome?.result ?? "open",
            reason: lastOutcome?.reason ?? "",
            onTime: lastOutcome?.onTime ?? false,
            durationMs,
            harmed: bad === undefined ? 0 : after.failedByVersion.get(newVersion.label) ?? 0,
            requestsDuring: after.sent - before.sent,
            faultToZeroMs: this.faultToZeroMs(newVersion),
        };
        await this.stopUnusedBackends(newVersion, measurement.result === "finished");
        return measurement;
    }

    private async startVersion(label: string, bad: BadVersionKind | undefined): Promise<NewVersion> {
        const { firm, mesh } = this;
        const fault = bad === undefined ? noFault : faultOfBadVersion(bad, firm);
        const serving = mesh.specification.hosts.filter(({ backends }) => backends[0].service === firm.service);
        const backends = [];
        for (const { id } of serving) {
            const specification = {
                service: firm.service,
                backendVersion: label,
                slots: firm.slots,
                latencyMs: BACKEND_LATENCY_MS,
            };
            backends.push(await mesh.startBackend(id, specification, fault));
        }
        return { label, backends };
    }

    /** Stops the old version's backend servers after a finished rollout, the new version's after a rollback. */
    private async stopUnusedBackends({ label }: NewVersion, finished: boolean): Promise<void> {
        for (const { backends, id } of this.mesh.hosts) {
            for (const backend of backends) {
                const isNew = backend.backendVersion === label;
                if (backend.service === this.firm.service && isNew !== finished) {
                    await this.mesh.stopBackend(id, backend);
                }
            }
        }
    }

    /** Returns the time from the first affected request to the last request that reached the version. */
    private faultToZeroMs({ backends }: NewVersion): number | undefined {
        const faults = backends.flatMap(({ statistics }) => statistics.firstFaultMs ?? []);
        const requests = backends.flatMap(({ statistics }) => statistics.lastRequestMs ?? []);
        return faults.length === 0 ? undefined : Math.max(0, Math.max(...requests) - Math.min(...faults));
    }

    /** Returns all accepted revisions of the service in ascending order, read from the replicas' logs. */
    private acceptedRevisions(): readonly number[] {
        const accepted = this.mesh.replicas.flatMap(({ history }) =>
            history()
                .filter((event) => event.get("service") === this.firm.service)
                .map((event) => Number(event.get("revision")))
        );
        return [...new Set(accepted)].sort((left, right) => left - right);
    }

    private countRepeatedKeys(): number {
        return this.mesh.allBackends.reduce((sum, { statistics }) => sum + statistics.repeated.length, 0);
    }

    /** Returns the bytes of control traffic that a node sends per second, on average, while the action runs. */
    private async bytesPerSecond(action: () => Promise<void>): Promise<number> {
        const before = await this.sentBytes();
        const startedMs = performance.now();
        await action();
        const after = await this.sentBytes();
        // The counter of a node that restarted began again at zero.
        const sent = [...after].map(([id, bytes]) => Math.max(0, bytes - (before.get(id) ?? 0)));
        const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
        return sent.reduce((sum, bytes) => sum + bytes, 0) / sent.length / seconds;
    }

    private async sentBytes(): Promise<ReadonlyMap<string, number>> {
        const counts = new Map<string, number>();
        for (const { id } of this.mesh.hosts) {
            const status = await this.mesh.nodeStatus(id);
            counts.set(id, status?.traffic.sentBytes ?? 0);
        }
        return counts;
    }
}
