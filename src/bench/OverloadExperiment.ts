import { pause } from "../core/pause";
import { Mesh } from "../emulator/Mesh";
import { MeshOperator } from "../emulator/MeshOperator";
import { LoadResult } from "../load/LoadResult";
import { LoadRunner } from "../load/LoadRunner";
import { benchEntry } from "./benchEntry";
import { Firm } from "./Firm";
import { OverloadReport } from "./OverloadReport";

/** Shares of full load. Full load itself leaves no room for chance, so 1x is a little below it. */
const FACTORS = [0.9, 2, 5] as const;
const STEP_MS = 6_000;
const SETTLE_MS = 1_000;
const MS_PER_SECOND = 1_000;
const WARM_UP_SECONDS = 1;

/** Good answers a second, without the first second. */
const goodput = ({ successesPerSecond }: LoadResult): number => {
    const steady = successesPerSecond.slice(WARM_UP_SECONDS, STEP_MS / MS_PER_SECOND);
    return steady.reduce((sum, count) => sum + count, 0) / Math.max(1, steady.length);
};

/** Offers more than the backend servers can do and counts the answers that come in time. */
export class OverloadExperiment {
    public constructor(private readonly mesh: Mesh, private readonly firm: Firm, private readonly seed: number) {}

    public async run(): Promise<readonly OverloadReport[]> {
        const operator = new MeshOperator(this.mesh);
        await operator.ended(this.firm.service, await operator.apply(benchEntry(this.firm, "v0")));
        const direct = this.mesh.allBackends
            .filter(({ service }) => service === this.firm.service)
            .map(({ boundAddress }) => boundAddress);
        const reports: OverloadReport[] = [];
        for (const factor of FACTORS) {
            const { firm } = this;
            const full = (firm.instances * firm.slots * MS_PER_SECOND) / firm.overloadLatencyMs;
            const offeredPerSecond = full * factor;
            const result = await this.load(this.mesh.callerAddresses, offeredPerSecond);
            await pause(SETTLE_MS);
            const plain = await this.load(direct, offeredPerSecond);
            await pause(SETTLE_MS);
            reports.push({
                factor,
                offeredPerSecond,
                goodputPerSecond: goodput(result),
                plainGoodputPerSecond: goodput(plain),
                p99Ms: result.latencyMs.p99,
                refusedNotRun: result.refusedNotRun,
                unknownOutcome: result.unknownOutcome,
            });
        }
        return reports;
    }

    private load(targets: readonly string[], requestsPerSecond: number): Promise<LoadResult> {
        return new LoadRunner({
            targets,
            service: this.firm.service,
            requestsPerSecond,
            durationMs: STEP_MS,
            requests: [{ method: "GET", path: this.firm.readPath, weight: 1 }],
            timeoutMs: 1_000,
            seed: this.seed,
            maximumConnections: 512,
        }).run();
    }
}
