import { Mesh } from "../emulator/Mesh";
import { MeshOperator } from "../emulator/MeshOperator";
import { LoadResult } from "../load/LoadResult";
import { LoadRunner } from "../load/LoadRunner";
import { benchEntry } from "./benchEntry";
import { Firm } from "./Firm";

/** The parameters that are the same for all steps of an experiment. */
type ReadLoadOptions = {
    readonly mesh: Mesh;
    readonly firm: Firm;
    readonly seed: number;
    readonly stepMs: number;
    readonly maximumConnections: number;
};

/** Sends a firm's reads at given rates, through the mesh or directly to its backend servers in turn. */
export class ReadLoad {
    private constructor(
        private readonly options: ReadLoadOptions,
        private readonly backendAddresses: readonly string[],
    ) {}

    /** Applies the firm's entry and waits until it is in force. */
    public static async prepare(options: ReadLoadOptions): Promise<ReadLoad> {
        const { firm, mesh } = options;
        const operator = new MeshOperator(mesh);
        await operator.waitUntilEnded(firm.service, await operator.apply(benchEntry(firm, "v0")));
        const backends = mesh.allBackends.filter(({ service }) => service === firm.service);
        return new ReadLoad(options, backends.map(({ boundAddress }) => boundAddress));
    }

    public sendDirect(requestsPerSecond: number): Promise<LoadResult> {
        return this.send(this.backendAddresses, requestsPerSecond);
    }

    public sendThroughMesh(requestsPerSecond: number): Promise<LoadResult> {
        return this.send(this.options.mesh.callerAddresses, requestsPerSecond);
    }

    private send(targets: readonly string[], requestsPerSecond: number): Promise<LoadResult> {
        const { firm, maximumConnections, seed, stepMs } = this.options;
        return new LoadRunner({
            targets,
            service: firm.service,
            requestsPerSecond,
            durationMs: stepMs,
            requests: [{ method: "GET", path: firm.readPath, weight: 1 }],
            timeoutMs: 1_000,
            seed,
            maximumConnections,
        }).run();
    }
}
