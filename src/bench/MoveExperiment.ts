import { pause } from "../core/pause";
import { convergenceMs } from "../emulator/convergenceMs";
import { Mesh } from "../emulator/Mesh";
import { MeshOperator } from "../emulator/MeshOperator";
import { revisionHistory } from "../emulator/revisionHistory";
import { LoadRunner } from "../load/LoadRunner";
import { noFault } from "../load/noFault";
import { StandInBackend } from "../load/StandInBackend";
import { badFault } from "./badFault";
import { BadKind } from "./BadKind";
import { benchEntry } from "./benchEntry";
import { FaultInjector } from "./FaultInjector";
import { FaultKind } from "./FaultKind";
import { Firm } from "./Firm";
import { MoveMeasurement } from "./MoveMeasurement";
import { MovesReport } from "./MovesReport";
import { scheduleFaults } from "./scheduleFaults";

const REQUESTS_PER_SECOND = 200;
const LONGEST_MS = 600_000;
const IDLE_MEASURE_MS = 4_000;
const MS_PER_SECOND = 1_000;
const BACKEND_LATENCY_MS = 4;

/** A fresh backend version on every host of the service. */
type Rollout = {
    readonly label: string;
    readonly backends: readonly StandInBackend[];
};

/** Moves a service to good and bad versions, one after the other, under load and faults. */
export class MoveExperiment {
    private readonly operator: MeshOperator;
    private readonly injector: FaultInjector;
    private readonly load: LoadRunner;

    public constructor(
        private readonly mesh: Mesh,
        private readonly firm: Firm,
        private readonly kinds: readonly FaultKind[],
        private readonly seed: number,
    ) {
        this.operator = new MeshOperator(mesh);
        this.injector = new FaultInjector(mesh);
        this.load = new LoadRunner({
            targets: mesh.callerAddresses,
            service: firm.service,
            requestsPerSecond: REQUESTS_PER_SECOND,
            durationMs: LONGEST_MS,
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

    /** Runs the plan: `undefined` stands for a good version. */
    public async run(plan: readonly (BadKind | undefined)[]): Promise<MovesReport> {
        await this.operator.ended(this.firm.service, await this.operator.apply(benchEntry(this.firm, "v0")));
        const idleNodeBytesPerSecond = await this.bytesPerSecond(() => pause(IDLE_MEASURE_MS));
        const running = this.load.run();
        const schedule = scheduleFaults(this.kinds, plan.length, this.seed);
        const moves: MoveMeasurement[] = [];
        const startedMs = performance.now();
        const nodeBytesPerSecond = await this.bytesPerSecond(async () => {
            for (const [move, bad] of plan.entries()) {
                const faults = schedule.filter((fault) => fault.move === move).map((fault) =>
                    this.injector.inject(fault)
                );
                moves.push(await this.runMove(move, bad));
                await Promise.all(faults);
            }
        });
        const seconds = (performance.now() - startedMs) / MS_PER_SECOND;
        this.load.stop();
        const load = await running;
        const revisions = this.revisions();
        const convergence = revisions.flatMap((revision) =>
            convergenceMs(this.mesh, this.firm.service, revision) ?? []
        );
        return {
            moves,
            faults: this.injector.history,
            convergenceMs: convergence,
            unmeasuredRevisions: revisions.length - convergence.length,
            nodeBytesPerSecond,
            idleNodeBytesPerSecond,
            bytesPerChange: ((nodeBytesPerSecond - idleNodeBytesPerSecond) * seconds) / Math.max(1, revisions.length),
            wentBack: revisionHistory.goingBack(this.mesh).length,
            repeated: this.repeatedKeys(),
            load,
        };
    }

    private async runMove(move: number, bad: BadKind | undefined): Promise<MoveMeasurement> {
        const rollout = await this.startRollout(`v${move + 1}`, bad);
        const startedMs = performance.now();
        const before = this.load.progress;
        const version = await this.operator.apply(benchEntry(this.firm, rollout.label));
        const { lastOutcome } = await this.operator.ended(this.firm.service, version);
        const durationMs = performance.now() - startedMs;
        const after = this.load.progress;
        const measurement: MoveMeasurement = {
            move,
            bad,
            result: lastOutcome?.result ?? "open",
            reason: lastOutcome?.reason ?? "",
            onTime: lastOutcome?.onTime ?? false,
            durationMs,
            harmed: bad === undefined ? 0 : after.failedByVersion.get(rollout.label) ?? 0,
            requestsDuring: after.sent - before.sent,
            faultToZeroMs: this.faultToZeroMs(rollout),
        };
        await this.retire(rollout, measurement.result === "finished");
        return measurement;
    }

    private async startRollout(label: string, bad: BadKind | undefined): Promise<Rollout> {
        const { firm, mesh } = this;
        const fault = bad === undefined ? noFault : badFault(bad, firm);
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

    /** The old version's backend servers drain after a finished move, the new one's after a take-back. */
    private async retire({ label }: Rollout, finished: boolean): Promise<void> {
        for (const { backends, id } of this.mesh.hosts) {
            for (const backend of backends) {
                const isNew = backend.backendVersion === label;
                if (backend.service === this.firm.service && isNew !== finished) {
                    await this.mesh.stopBackend(id, backend);
                }
            }
        }
    }

    private faultToZeroMs({ backends }: Rollout): number | undefined {
        const faults = backends.flatMap(({ statistics }) => statistics.firstFaultMs ?? []);
        const requests = backends.flatMap(({ statistics }) => statistics.lastRequestMs ?? []);
        return faults.length === 0 ? undefined : Math.max(0, Math.max(...requests) - Math.min(...faults));
    }

    /** All revisions of the service that were accepted, by the replicas' logs. */
    private revisions(): readonly number[] {
        const accepted = this.mesh.replicas.flatMap(({ history }) =>
            history()
                .filter((event) => event.get("service") === this.firm.service)
                .map((event) => Number(event.get("revision")))
        );
        return [...new Set(accepted)].sort((left, right) => left - right);
    }

    private repeatedKeys(): number {
        return this.mesh.allBackends.reduce((sum, { statistics }) => sum + statistics.repeated.length, 0);
    }

    /** Bytes that a node sends for control each second, on average, while `work` runs. */
    private async bytesPerSecond(work: () => Promise<void>): Promise<number> {
        const before = await this.sentBytes();
        const startedMs = performance.now();
        await work();
        const after = await this.sentBytes();
        // The count of a node that restarted began anew.
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
