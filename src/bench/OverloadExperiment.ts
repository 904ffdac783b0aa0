import { pause } from "../core/pause";
import { Mesh } from "../emulator/Mesh";
import { LoadResult } from "../load/LoadResult";
import { Firm } from "./Firm";
import { OverloadReport } from "./OverloadReport";
import { ReadLoad } from "./ReadLoad";

/**
 * Multiples of the full load. The first is the baseline, which the results call 1x. It is 0.9, since at exactly 1
 * random variation already causes overload.
 */
const LOAD_FACTORS = [0.9, 2, 5] as const;
const STEP_MS = 6_000;
const MAXIMUM_CONNECTIONS = 512;
const SETTLE_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Seconds at the start of a step that are left out of the goodput. */
const WARM_UP_SECONDS = 1;

/** Returns the successful responses per second before the deadline, without the warm-up. */
const goodput = ({ successesPerSecond }: LoadResult): number => {
    const countsAfterWarmUp = successesPerSecond.slice(WARM_UP_SECONDS, STEP_MS / MS_PER_SECOND);
    return countsAfterWarmUp.reduce((sum, count) => sum + count, 0) / Math.max(1, countsAfterWarmUp.length);
};

/** Offers more load than the backend servers can process and counts the responses before the deadline. */
export class OverloadExperiment {
    public constructor(private readonly mesh: Mesh, private readonly firm: Firm, private readonly seed: number) {}

    public async run(): Promise<readonly OverloadReport[]> {
        const { firm, mesh, seed } = this;
        const load = await ReadLoad.prepare({
            mesh,
            firm,
            seed,
            stepMs: STEP_MS,
            maximumConnections: MAXIMUM_CONNECTIONS,
        });
        const fullLoadPerSecond = (firm.instances * firm.slots * MS_PER_SECOND) / firm.overloadLatencyMs;
        const reports: OverloadReport[] = [];
        for (const factor of LOAD_FACTORS) {
            const offeredPerSecond = fullLoadPerSecond * factor;
            const result = await load.sendThroughMesh(offeredPerSecond);
            await pause(SETTLE_MS);
            const direct = await load.sendDirect(offeredPerSecond);
            await pause(SETTLE_MS);
            reports.push({
                factor,
                offeredPerSecond,
                goodputPerSecond: goodput(result),
                plainGoodputPerSecond: goodput(direct),
                p99Ms: result.latencyMs.p99,
                refusedNotRun: result.refusedNotRun,
                unknownOutcome: result.unknownOutcome,
            });
        }
        return reports;
    }
}
