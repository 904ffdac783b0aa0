import { pause } from "../core/pause";
import { Mesh } from "../emulator/Mesh";
import { LoadResult } from "../load/LoadResult";
import { Firm } from "./Firm";
import { OverloadReport } from "./OverloadReport";
import { ReadLoad } from "./ReadLoad";

/** Shares of full load. Full load itself leaves no room for chance, so 1x is a little below it. */
const FACTORS = [0.9, 2, 5] as const;
const STEP_MS = 6_000;
const CONNECTIONS = 512;
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
        const { firm, mesh, seed } = this;
        const load = await ReadLoad.prepare({ mesh, firm, seed, stepMs: STEP_MS, maximumConnections: CONNECTIONS });
        const full = (firm.instances * firm.slots * MS_PER_SECOND) / firm.overloadLatencyMs;
        const reports: OverloadReport[] = [];
        for (const factor of FACTORS) {
            const offeredPerSecond = full * factor;
            const result = await load.through(offeredPerSecond);
            await pause(SETTLE_MS);
            const plain = await load.direct(offeredPerSecond);
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
}
