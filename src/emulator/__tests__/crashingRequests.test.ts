import { LoadRunner } from "../../load/LoadRunner";
import { createEntry } from "../createEntry";
import { Mesh } from "../Mesh";
import { MeshOperator } from "../MeshOperator";
import { withUniformMesh } from "../withUniformMesh";

/** Time in which all hosts must know that a request crashed three backend servers. */
const CONTACT_MS = 3_000;
const MAXIMUM_LATE_RUNS = 3;

const createLoad = (mesh: Mesh, path: string, method: "GET" | "POST", requestsPerSecond: number): LoadRunner =>
    new LoadRunner({
        targets: mesh.hosts.map(({ caller }) => caller.advertised),
        service: "map",
        requestsPerSecond,
        durationMs: 9_000,
        requests: [{ method, path, weight: 1 }],
        timeoutMs: 1_500,
        seed: 410,
        maximumConnections: 32,
    });

describe("a request that crashes each backend server that runs it", () => {
    // Guards against inc1 in the nodes of this program: resends of such a request run at one backend server after another.
    test.each([{ method: "GET", path: "/tiles/crash" }, { method: "POST", path: "/orders/crash" }] as const)(
        "is refused at all nodes after three crashes while others are served: $method",
        ({ method, path }) =>
            withUniformMesh(
                { zones: 2, hostsPerZone: 2, services: ["map"], withFaults: false, seed: 410, latencyMs: 20 },
                async (mesh) => {
                    const operator = new MeshOperator(mesh);
                    await operator.waitUntilEnded(
                        "map",
                        await operator.apply(createEntry("map", { backendVersion: "v1" })),
                    );
                    await mesh.waitUntil("every node serves callers", async () => {
                        const answers = await Promise.all(
                            mesh.hosts.map(({ caller }) =>
                                fetch(`http://${caller.advertised}/tiles`, {
                                    headers: { "x-filbertdeal-service": "map" },
                                })
                            ),
                        );
                        return answers.every(({ status }) => status === 200);
                    });
                    const backends = mesh.hosts.flatMap((host) => host.backends);
                    await Promise.all(backends.map(({ boundAddress }) =>
                        fetch(`http://${boundAddress}/_fault`, {
                            method: "POST",
                            body: JSON.stringify({ kind: "crash", share: 1, pathPrefix: path }),
                        })
                    ));
                    const [sound] = await Promise.all([
                        createLoad(mesh, "/tiles", "GET", 50).run(),
                        createLoad(mesh, path, method, 8).run(),
                    ]);
                    const runsMs = backends
                        .flatMap(({ statistics }) => statistics.crashingRunsMs)
                        .sort((left, right) => left - right);
                    expect(runsMs.length).toBeGreaterThanOrEqual(3);
                    const lateRuns = runsMs.filter((atMs) => atMs > runsMs[2] + CONTACT_MS);
                    expect(lateRuns.length).toBeLessThanOrEqual(MAXIMUM_LATE_RUNS);
                    expect(Object.keys(sound.failureReasons).filter((reason) => reason.includes("crashed"))).toEqual(
                        [],
                    );
                },
            ),
    );
});
