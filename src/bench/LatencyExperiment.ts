import { Mesh } from "../emulator/Mesh";
import { Firm } from "./Firm";
import { LatencyReport } from "./LatencyReport";
import { ReadLoad } from "./ReadLoad";

const REQUESTS_PER_SECOND_STEPS = [50, 200, 800] as const;
const STEP_MS = 5_000;
const MAXIMUM_CONNECTIONS = 64;

/** Compares the latency of calls through the mesh with direct calls to the same backend servers, at several rates. */
export class LatencyExperiment {
    public constructor(private readonly mesh: Mesh, private readonly firm: Firm, private readonly seed: number) {}

    public async run(): Promise<readonly LatencyReport[]> {
        const { firm, mesh, seed } = this;
        const load = await ReadLoad.prepare({
            mesh,
            firm,
            seed,
            stepMs: STEP_MS,
            maximumConnections: MAXIMUM_CONNECTIONS,
        });
        const reports: LatencyReport[] = [];
        for (const requestsPerSecond of REQUESTS_PER_SECOND_STEPS) {
            const direct = (await load.sendDirect(requestsPerSecond)).latencyMs;
            const throughMesh = (await load.sendThroughMesh(requestsPerSecond)).latencyMs;
            reports.push({
                requestsPerSecond,
                directP50Ms: direct.p50,
                directP99Ms: direct.p99,
                throughP50Ms: throughMesh.p50,
                throughP99Ms: throughMesh.p99,
                addedP50Ms: throughMesh.p50 - direct.p50,
                addedP99Ms: throughMesh.p99 - direct.p99,
            });
        }
        return reports;
    }
}
