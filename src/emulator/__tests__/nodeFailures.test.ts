import { RolloutResult } from "../../catalogue/RolloutResult";
import { LoadResult } from "../../load/LoadResult";
import { LoadRunner } from "../../load/LoadRunner";
import { noFault } from "../../load/noFault";
import { createEntry } from "../createEntry";
import { Mesh } from "../Mesh";
import { MeshOperator } from "../MeshOperator";
import { revisionHistory } from "../revisionHistory";
import { withUniformMesh } from "../withUniformMesh";

const smallMesh = { zones: 2, hostsPerZone: 2, services: ["map"], withFaults: true } as const;

const createLoad = (targets: readonly string[], seed: number, requestsPerSecond = 100): LoadRunner =>
    new LoadRunner({
        targets,
        service: "map",
        requestsPerSecond,
        durationMs: 60_000,
        requests: [{ method: "GET", path: "/tiles", weight: 3 }, { method: "POST", path: "/orders", weight: 1 }],
        timeoutMs: 1_500,
        seed,
        maximumConnections: 32,
    });

const applyFirstEntry = async (mesh: Mesh): Promise<MeshOperator> => {
    const operator = new MeshOperator(mesh);
    await operator.waitUntilEnded("map", await operator.apply(createEntry("map", { backendVersion: "v1" })));
    await waitForBackends(mesh, mesh.hosts.length);
    return operator;
};

/** Waits until each node serves callers and knows the backend servers of exactly `count` hosts. */
const waitForBackends = (mesh: Mesh, count: number): Promise<true> =>
    mesh.waitUntil("every node knows the backend servers", async () => {
        const knownHostCounts = await Promise.all(mesh.hosts.map(async ({ host }) => {
            const answer = await fetch(`http://${host.advertised}/v1/members`);
            const members = (await answer.json()) as readonly { readonly endpoints: readonly unknown[]; }[];
            return members.filter(({ endpoints }) => endpoints.length > 0).length;
        }));
        const statuses = await Promise.all(mesh.hosts.map(({ id }) => mesh.nodeStatus(id)));
        return knownHostCounts.every((known) => known === count) && statuses.every((status) => status?.serving);
    });

const countRequests = (mesh: Mesh): number =>
    mesh.hosts.reduce(
        (sum, { backends }) => sum + backends.reduce((own, { statistics }) => own + statistics.requests, 0),
        0,
    );

/** Waits until the backend servers have received `count` more requests. */
const waitForRequests = (mesh: Mesh, count = 100): Promise<true> => {
    const before = countRequests(mesh);
    return mesh.waitUntil(`${count} more requests were served`, async () => countRequests(mesh) >= before + count);
};

const repeatedKeys = (mesh: Mesh): readonly string[] =>
    mesh.hosts.flatMap(({ backends }) => backends.flatMap(({ statistics }) => statistics.repeated));

/** The fields of a load result that are zero or empty if no request failed. */
const failureSummary = ({ failed, failureReasons, misdelivered }: LoadResult) => ({
    failed,
    failureReasons,
    misdelivered,
});

describe("nodes under failure", () => {
    test("a third of the nodes, with a relay, killed in a rollout: no revision regresses, no request runs twice", () =>
        withUniformMesh({ zones: 4, hostsPerZone: 3, services: ["map"], withFaults: true, seed: 201 }, async (mesh) => {
            const operator = await applyFirstEntry(mesh);
            const killedHosts = [mesh.hosts[0], mesh.hosts[4], mesh.hosts[8], mesh.hosts[9]];
            const otherHosts = mesh.hosts.filter((host) => !killedHosts.includes(host));
            const load = createLoad(otherHosts.map(({ caller }) => caller.advertised), 201);
            const running = load.run();
            await waitForRequests(mesh);
            const version = await operator.apply(
                createEntry("map", { backendVersion: "v1", requestShareSteps: [0.2, 1], timeoutMs: 1_999 }),
            );
            await Promise.all(killedHosts.map(({ process: managed }) => managed.end("SIGKILL")));
            await waitForRequests(mesh);
            for (const { id } of killedHosts) {
                await mesh.restartHost(id);
            }
            const status = await operator.waitUntilEnded("map", version);
            expect(status.lastOutcome?.result).toBe(RolloutResult.Finished);
            expect(status.proxies).toMatchObject({ expected: 12, holding: 12, unknown: 0 });
            load.stop();
            const result = await running;
            expect(revisionHistory.regressions(mesh)).toEqual([]);
            expect(repeatedKeys(mesh)).toEqual([]);
            expect(result.misdelivered).toBe(0);
        }));

    test("a node that restarts without control replicas gets its revision, or a later one, from a relay", () =>
        withUniformMesh({ ...smallMesh, hostsPerZone: 3, seed: 202 }, async (mesh) => {
            const operator = await applyFirstEntry(mesh);
            await operator.waitUntilEnded(
                "map",
                await operator.apply(createEntry("map", { backendVersion: "v1", timeoutMs: 1_999 })),
            );
            const before = await mesh.nodeStatus("node-1");
            await Promise.all(mesh.replicas.map(({ process: managed }) => managed.end("SIGKILL")));
            for (const { id } of mesh.hosts.slice(0, 3)) {
                await mesh.findHost(id).process.end("SIGKILL");
                await mesh.restartHost(id);
                const status = await mesh.waitUntil(`${id} serves again`, async () => {
                    const current = await mesh.nodeStatus(id);
                    return current?.serving ? current : undefined;
                });
                expect(status.sourceRevision).toBeGreaterThanOrEqual(before?.sourceRevision ?? 1);
            }
            expect(revisionHistory.regressions(mesh)).toEqual([]);
        }));

    test("an isolated zone keeps serving; the rollout reports it, waits for it and finishes after the partition", () =>
        withUniformMesh({ ...smallMesh, seed: 203 }, async (mesh) => {
            const operator = await applyFirstEntry(mesh);
            const isolatedHosts = mesh.hosts.filter(({ zone }) => zone === "zone-b");
            const load = createLoad(isolatedHosts.map(({ caller }) => caller.advertised), 203, 50);
            const running = load.run();
            await waitForRequests(mesh);
            mesh.isolateZone("zone-b");
            const version = await operator.apply(createEntry("map", { backendVersion: "v1", timeoutMs: 1_999 }));
            await mesh.waitUntil("the status lists the silent zone", async () => {
                const status = await operator.status("map");
                return status?.proxies.silentZones.includes("zone-b") && status.proxies.unknown === 2;
            });
            expect((await operator.status("map"))?.move).toBeDefined();
            await waitForRequests(mesh);
            mesh.endFaults();
            expect((await operator.waitUntilEnded("map", version)).lastOutcome?.result).toBe(RolloutResult.Finished);
            load.stop();
            const result = await running;
            expect(result.succeeded).toBeGreaterThan(result.sent * 0.9);
            expect(revisionHistory.regressions(mesh)).toEqual([]);
            expect(repeatedKeys(mesh)).toEqual([]);
        }));

    test("the nodes stop sending requests to a failing version while all control replicas are down", () =>
        withUniformMesh({ ...smallMesh, seed: 204 }, async (mesh) => {
            const operator = await applyFirstEntry(mesh);
            for (const { id } of mesh.hosts) {
                await mesh.startBackend(id, { service: "map", backendVersion: "v2", slots: 12, latencyMs: 2 }, noFault);
            }
            await operator.apply(
                createEntry("map", { backendVersion: "v2", requestShareSteps: [0.3, 1], bakeMs: 50_000 }),
            );
            await Promise.all(
                mesh.hosts.map(({ process: managed }) =>
                    managed.waitFor("configuration-in-force", (event) => Number(event.get("revision")) >= 3)
                ),
            );
            await Promise.all(mesh.replicas.map(({ process: managed }) => managed.end("SIGKILL")));
            const load = createLoad(mesh.callerAddresses, 204);
            const running = load.run();
            await waitForRequests(mesh);
            for (const { backends } of mesh.hosts) {
                const address = backends[1].boundAddress;
                await fetch(`http://${address}/_fault`, { method: "POST", body: JSON.stringify({ kind: "fail" }) });
            }
            await Promise.all(mesh.hosts.map(({ process: managed }) => managed.waitFor("candidate-suppressed")));
            const countV2Requests = () =>
                mesh.hosts.reduce((sum, { backends }) => sum + backends[1].statistics.requests, 0);
            await waitForRequests(mesh, 20);
            const after = countV2Requests();
            await waitForRequests(mesh, 200);
            expect(countV2Requests()).toBe(after);
            load.stop();
            await running;
        }));

    test("open connections that go silent delay requests until their deadline at most, and no request runs twice", () =>
        withUniformMesh({ ...smallMesh, seed: 205 }, async (mesh) => {
            await applyFirstEntry(mesh);
            const load = createLoad(mesh.callerAddresses, 205);
            const running = load.run();
            await waitForRequests(mesh);
            mesh.hosts.forEach(({ inbound, peer }) =>
                [inbound, peer].forEach(({ proxy }) => proxy?.silenceOpenConnections())
            );
            await waitForRequests(mesh, 400);
            load.stop();
            const result = await running;
            expect(repeatedKeys(mesh)).toEqual([]);
            expect(result.misdelivered).toBe(0);
            expect(result.succeeded).toBeGreaterThan(400);
        }));
});

describe("planned shutdowns", () => {
    test("a node that shuts down under load finishes all requests in progress", () =>
        withUniformMesh({ ...smallMesh, seed: 206, latencyMs: 40 }, async (mesh) => {
            await applyFirstEntry(mesh);
            const [stoppingHost, ...otherHosts] = mesh.hosts;
            const load = createLoad(otherHosts.map(({ caller }) => caller.advertised), 206);
            const running = load.run();
            await waitForRequests(mesh);
            await stoppingHost.process.end("SIGTERM");
            expect(stoppingHost.process.exitCode).toBe(0);
            const stopped = stoppingHost.process.history.find((event) => event.get("event") === "node-stopped");
            expect(stopped?.get("unfinished")).toBe("0");
            await waitForRequests(mesh);
            load.stop();
            expect(failureSummary(await running)).toEqual({ failureReasons: {}, failed: 0, misdelivered: 0 });
        }));

    test("a node that shuts down finishes a request that takes seconds", () =>
        withUniformMesh({ ...smallMesh, hostsPerZone: 1, seed: 208 }, async (mesh) => {
            const operator = await applyFirstEntry(mesh);
            await operator.waitUntilEnded(
                "map",
                await operator.apply(createEntry("map", { backendVersion: "v1", timeoutMs: 30_000 })),
            );
            const slow = JSON.stringify({ kind: "slow", pathPrefix: "/slow", delayMs: 4_000 });
            for (const { boundAddress } of mesh.allBackends) {
                await fetch(`http://${boundAddress}/_fault`, { method: "POST", body: slow });
            }
            const [stoppingHost] = mesh.hosts;
            const before = countRequests(mesh);
            const answer = fetch(`http://${stoppingHost.caller.advertised}/slow`, {
                headers: { "x-filbertdeal-service": "map" },
            });
            await mesh.waitUntil("the request is in progress", async () => countRequests(mesh) > before);
            const ended = stoppingHost.process.end("SIGTERM");
            expect((await answer).status).toBe(200);
            await ended;
        }));

    // Guards against review/8 in src/proxy: requests that waited when the drain timed out got no answer. KNOWN-RED 45.
    test.failing("a node that shuts down answers each request that it has read, wherever it waits", async () => {
        process.env.FILBERTDEAL_DRAIN_TIMEOUT_MS = "4000";
        try {
            await withUniformMesh({ ...smallMesh, zones: 1, withFaults: false, seed: 209 }, async (mesh) => {
                const operator = await applyFirstEntry(mesh);
                await operator.waitUntilEnded(
                    "map",
                    await operator.apply(createEntry("map", { backendVersion: "v1", timeoutMs: 30_000 })),
                );
                const slow = JSON.stringify({ kind: "slow", pathPrefix: "/slow", delayMs: 1_500 });
                for (const { boundAddress } of mesh.allBackends) {
                    await fetch(`http://${boundAddress}/_fault`, { method: "POST", body: slow });
                }
                const [stoppingHost] = mesh.hosts;
                const before = countRequests(mesh);
                const answers = Array.from(
                    { length: 120 },
                    () =>
                        fetch(`http://${stoppingHost.caller.advertised}/slow`, {
                            headers: { "x-filbertdeal-service": "map" },
                        }).then(({ status }) => status, () => 0),
                );
                await mesh.waitUntil("requests are in progress", async () => countRequests(mesh) > before);
                await stoppingHost.process.end("SIGTERM");
                const statuses = await Promise.all(answers);
                expect(statuses.filter((status) => status === 200).length).toBeGreaterThan(0);
                expect(statuses.filter((status) => status === 0)).toEqual([]);
            });
        }
        finally {
            delete process.env.FILBERTDEAL_DRAIN_TIMEOUT_MS;
        }
    });

    test("a draining backend server gets no new requests once all nodes know it, and no request fails", () =>
        withUniformMesh({ ...smallMesh, seed: 207, latencyMs: 20 }, async (mesh) => {
            await applyFirstEntry(mesh);
            const load = createLoad(mesh.callerAddresses, 207);
            const running = load.run();
            await waitForRequests(mesh);
            const [drainingBackend] = mesh.hosts[0].backends;
            await drainingBackend.drain();
            await mesh.waitUntil("all nodes know that the backend server is draining", async () => {
                const answers = await Promise.all(mesh.hosts.map(async ({ host }) => {
                    const members = (await (await fetch(`http://${host.advertised}/v1/members`)).json()) as readonly {
                        readonly id: string;
                        readonly endpoints: readonly { readonly state: string; }[];
                    }[];
                    return members.find(({ id }) => id === "node-1")?.endpoints[0]?.state;
                }));
                return answers.every((state) => state === "draining");
            });
            await waitForRequests(mesh, 50);
            const after = drainingBackend.statistics.requests;
            await waitForRequests(mesh, 200);
            expect(drainingBackend.statistics.requests).toBe(after);
            load.stop();
            expect(failureSummary(await running)).toEqual({ failureReasons: {}, failed: 0, misdelivered: 0 });
        }));
});
