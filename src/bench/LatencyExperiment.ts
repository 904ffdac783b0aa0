import { Mesh } from "../emulator/Mesh";
import { Firm } from "./Firm";
import { LatencyReport } from "./LatencyReport";
import { ReadLoad } from "./ReadLoad";

const RATES = [50, 200, 800] as const;
const STEP_MS = 5_000;
const CONNECTIONS = 64;

/** Compares calls through the system with direct calls to the same backend servers, at several rates. */
export class LatencyExperiment {
    public constructor(private readonly mesh: Mesh, private readonly firm: Firm, private readonly seed: number) {}

    public async run(): Promise<readonly LatencyReport[]> {
        const { firm, mesh, seed } = this;
        const load = await ReadLoad.prepare({ mesh, firm, seed, stepMs: STEP_MS, maximumConnections: CONNECTIONS });
        const reports: LatencyReport[] = [];
        for (const requestsPerSecond of RATES) {
            const alone = (await load.direct(requestsPerSecond)).latencyMs;
            const through = (await load.through(requestsPerSecond)).latencyMs;
            reports.push({
                requestsPerSecond,
                directP50Ms: alone.p50,
                directP99Ms: alone.p99,
                throughP50Ms: through.p50,
                throughP99Ms: through.p99,
                addedP50Ms: through.p50 - alone.p50,
                addedP99Ms: through.p99 - alone.p99,
            });
        }
        return reports;
    }
}
