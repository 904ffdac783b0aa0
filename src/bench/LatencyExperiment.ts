import { Mesh } from "../emulator/Mesh";
import { MeshOperator } from "../emulator/MeshOperator";
import { LoadResult } from "../load/LoadResult";
import { LoadRunner } from "../load/LoadRunner";
import { benchEntry } from "./benchEntry";
import { Firm } from "./Firm";
import { LatencyReport } from "./LatencyReport";

const RATES = [50, 200, 800] as const;
const STEP_MS = 5_000;

/** Compares calls through the system with direct calls to the same backend servers, at several rates. */
export class LatencyExperiment {
    public constructor(private readonly mesh: Mesh, private readonly firm: Firm, private readonly seed: number) {}

    public async run(): Promise<readonly LatencyReport[]> {
        const operator = new MeshOperator(this.mesh);
        await operator.ended(this.firm.service, await operator.apply(benchEntry(this.firm, "v0")));
        const direct = this.mesh.allBackends
            .filter(({ service }) => service === this.firm.service)
            .map(({ boundAddress }) => boundAddress);
        const reports: LatencyReport[] = [];
        for (const requestsPerSecond of RATES) {
            const alone = (await this.load(direct, requestsPerSecond)).latencyMs;
            const through = (await this.load(this.mesh.callerAddresses, requestsPerSecond)).latencyMs;
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

    private load(targets: readonly string[], requestsPerSecond: number): Promise<LoadResult> {
        return new LoadRunner({
            targets,
            service: this.firm.service,
            requestsPerSecond,
            durationMs: STEP_MS,
            requests: [{ method: "GET", path: this.firm.readPath, weight: 1 }],
            timeoutMs: 1_000,
            seed: this.seed,
            maximumConnections: 64,
        }).run();
    }
}
