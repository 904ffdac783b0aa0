import { MoveResult } from "../../catalogue/MoveResult";
import { LoadResult } from "../../load/LoadResult";
import { LoadRunner } from "../../load/LoadRunner";
import { noFault } from "../../load/noFault";
import { entryOf } from "../entryOf";
import { Mesh } from "../Mesh";
import { MeshOperator } from "../MeshOperator";
import { revisionHistory } from "../revisionHistory";
import { sampleMesh } from "../sampleMesh";

const small = { zones: 2, hostsPerZone: 2, services: ["map"], withFaults: true } as const;

const loadOn = (targets: readonly string[], seed: number, requestsPerSecond = 100): LoadRunner =>
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

const applyFirst = async (mesh: Mesh): Promise<MeshOperator> => {
    const operator = new MeshOperator(mesh);
    await operator.ended("map", await operator.apply(entryOf("map", { backendVersion: "v1" })));
    await everyNodeSees(mesh, mesh.hosts.length);
    return operator;
};

/** Waits until each node serves callers and knows the backend servers of `count` hosts. */
const everyNodeSees = (mesh: Mesh, count: number): Promise<true> =>
    mesh.until("every node knows the backend servers", async () => {
        const views = await Promise.all(mesh.hosts.map(async ({ host }) => {
            const answer = await fetch(`http://${host.advertised}/v1/members`);
            const members = (await answer.json()) as readonly { readonly endpoints: readonly unknown[]; }[];
            return members.filter(({ endpoints }) => endpoints.length > 0).length;
        }));
        const statuses = await Promise.all(mesh.hosts.map(({ id }) => mesh.nodeStatus(id)));
        return views.every((known) => known === count) && statuses.every((status) => status?.serving);
    });

const requestsServed = (mesh: Mesh): number =>
    mesh.hosts.reduce(
        (sum, { backends }) => sum + backends.reduce((own, { statistics }) => own + statistics.requests, 0),
        0,
    );

/** Waits until the backend servers have worked on more requests. */
const moreRequests = (mesh: Mesh, count = 100): Promise<true> => {
    const before = requestsServed(mesh);
    return mesh.until(`${count} more requests were served`, async () => requestsServed(mesh) >= before + count);
};

const repeatedKeys = (mesh: Mesh): readonly string[] =>
    mesh.hosts.flatMap(({ backends }) => backends.flatMap(({ statistics }) => statistics.repeated));

/** The part of a load's result that must be empty when nothing was lost. */
const failureOf = ({ failed, failureReasons, misdelivered }: LoadResult) => ({ failed, failureReasons, misdelivered });

describe("nodes under failure", () => {
    test("a third of the nodes and a relay killed during a move: nothing goes back, nothing runs twice", () =>
        sampleMesh({ zones: 4, hostsPerZone: 3, services: ["map"], withFaults: true, seed: 201 }, async (mesh) => {
            const operator = await applyFirst(mesh);
            const victims = [mesh.hosts[0], mesh.hosts[4], mesh.hosts[8], mesh.hosts[9]];
            const spared = mesh.hosts.filter((host) => !victims.includes(host));
            const load = loadOn(spared.map(({ caller }) => caller.advertised), 201);
            const running = load.run();
            await moreRequests(mesh);
            const version = await operator.apply(
                entryOf("map", { backendVersion: "v1", requestShareSteps: [0.2, 1], timeoutMs: 1_999 }),
            );
            await Promise.all(victims.map(({ process: managed }) => managed.end("SIGKILL")));
            await moreRequests(mesh);
            for (const { id } of victims) {
                await mesh.restartHost(id);
            }
            const status = await operator.ended("map", version);
            expect(status.lastOutcome?.result).toBe(MoveResult.Finished);
            expect(status.proxies).toMatchObject({ expected: 12, holding: 12, unknown: 0 });
            load.stop();
            const result = await running;
            expect(revisionHistory.goingBack(mesh)).toEqual([]);
            expect(repeatedKeys(mesh)).toEqual([]);
            expect(result.misdelivered).toBe(0);
        }));

    test("a node that restarts while control is away serves from its relay, at no older revision", () =>
        sampleMesh({ ...small, hostsPerZone: 3, seed: 202 }, async (mesh) => {
            const operator = await applyFirst(mesh);
            await operator.ended(
                "map",
                await operator.apply(entryOf("map", { backendVersion: "v1", timeoutMs: 1_999 })),
            );
            const before = await mesh.nodeStatus("node-1");
            await Promise.all(mesh.replicas.map(({ process: managed }) => managed.end("SIGKILL")));
            for (const { id } of mesh.hosts.slice(0, 3)) {
                await mesh.hostOf(id).process.end("SIGKILL");
                await mesh.restartHost(id);
                const status = await mesh.until(`${id} serves again`, async () => {
                    const present = await mesh.nodeStatus(id);
                    return present?.serving ? present : undefined;
                });
                expect(status.sourceRevision).toBeGreaterThanOrEqual(before?.sourceRevision ?? 1);
            }
            expect(revisionHistory.goingBack(mesh)).toEqual([]);
        }));

    test("a zone that is cut off goes on serving; the move waits for it and says so, and ends once healed", () =>
        sampleMesh({ ...small, seed: 203 }, async (mesh) => {
            const operator = await applyFirst(mesh);
            const cutOff = mesh.hosts.filter(({ zone }) => zone === "zone-b");
            const load = loadOn(cutOff.map(({ caller }) => caller.advertised), 203, 50);
            const running = load.run();
            await moreRequests(mesh);
            mesh.cutZone("zone-b");
            const version = await operator.apply(entryOf("map", { backendVersion: "v1", timeoutMs: 1_999 }));
            await mesh.until("the status names the silent zone", async () => {
                const status = await operator.status("map");
                return status?.proxies.silentZones.includes("zone-b") && status.proxies.unknown === 2;
            });
            expect((await operator.status("map"))?.move).toBeDefined();
            await moreRequests(mesh);
            mesh.healAll();
            expect((await operator.ended("map", version)).lastOutcome?.result).toBe(MoveResult.Finished);
            load.stop();
            const result = await running;
            expect(result.succeeded).toBeGreaterThan(result.sent * 0.9);
            expect(revisionHistory.goingBack(mesh)).toEqual([]);
            expect(repeatedKeys(mesh)).toEqual([]);
        }));

    test("a bad version is stopped by the nodes themselves while control is away", () =>
        sampleMesh({ ...small, seed: 204 }, async (mesh) => {
            const operator = await applyFirst(mesh);
            for (const { id } of mesh.hosts) {
                await mesh.startBackend(id, { service: "map", backendVersion: "v2", slots: 12, latencyMs: 2 }, noFault);
            }
            await operator.apply(entryOf("map", { backendVersion: "v2", requestShareSteps: [0.3, 1], bakeMs: 50_000 }));
            await Promise.all(
                mesh.hosts.map(({ process: managed }) =>
                    managed.waitFor("configuration-in-force", (event) => Number(event.get("revision")) >= 3)
                ),
            );
            await Promise.all(mesh.replicas.map(({ process: managed }) => managed.end("SIGKILL")));
            const load = loadOn(mesh.callerAddresses, 204);
            const running = load.run();
            await moreRequests(mesh);
            for (const { backends } of mesh.hosts) {
                const address = backends[1].boundAddress;
                await fetch(`http://${address}/_fault`, { method: "POST", body: JSON.stringify({ kind: "fail" }) });
            }
            await Promise.all(mesh.hosts.map(({ process: managed }) => managed.waitFor("candidate-suppressed")));
            const v2Requests = () => mesh.hosts.reduce((sum, { backends }) => sum + backends[1].statistics.requests, 0);
            await moreRequests(mesh, 20);
            const after = v2Requests();
            await moreRequests(mesh, 200);
            expect(v2Requests()).toBe(after);
            load.stop();
            await running;
        }));

    test("connections that go silent for good while new ones work cost answers only until the deadline, and nothing runs twice", () =>
        sampleMesh({ ...small, seed: 205 }, async (mesh) => {
            await applyFirst(mesh);
            const load = loadOn(mesh.callerAddresses, 205);
            const running = load.run();
            await moreRequests(mesh);
            mesh.hosts.forEach(({ inbound, peer }) => [inbound, peer].forEach(({ proxy }) => proxy?.silenceOpen()));
            await moreRequests(mesh, 400);
            load.stop();
            const result = await running;
            expect(repeatedKeys(mesh)).toEqual([]);
            expect(result.misdelivered).toBe(0);
            expect(result.succeeded).toBeGreaterThan(400);
        }));
});

describe("planned stops", () => {
    test("a node that stops under load cuts off no request in progress", () =>
        sampleMesh({ ...small, seed: 206, latencyMs: 40 }, async (mesh) => {
            await applyFirst(mesh);
            const [leaving, ...staying] = mesh.hosts;
            const load = loadOn(staying.map(({ caller }) => caller.advertised), 206);
            const running = load.run();
            await moreRequests(mesh);
            await leaving.process.end("SIGTERM");
            expect(leaving.process.exitCode).toBe(0);
            const stopped = leaving.process.history.find((event) => event.get("event") === "node-stopped");
            expect(stopped?.get("unfinished")).toBe("0");
            await moreRequests(mesh);
            load.stop();
            expect(failureOf(await running)).toEqual({ failureReasons: {}, failed: 0, misdelivered: 0 });
        }));

    test("a node that stops finishes a long request that is in progress", () =>
        sampleMesh({ ...small, hostsPerZone: 1, seed: 208 }, async (mesh) => {
            const operator = await applyFirst(mesh);
            await operator.ended(
                "map",
                await operator.apply(entryOf("map", { backendVersion: "v1", timeoutMs: 30_000 })),
            );
            const slow = JSON.stringify({ kind: "slow", pathPrefix: "/slow", delayMs: 4_000 });
            for (const { boundAddress } of mesh.allBackends) {
                await fetch(`http://${boundAddress}/_fault`, { method: "POST", body: slow });
            }
            const [leaving] = mesh.hosts;
            const before = requestsServed(mesh);
            const answer = fetch(`http://${leaving.caller.advertised}/slow`, {
                headers: { "x-filbertdeal-service": "map" },
            });
            await mesh.until("the request is in progress", async () => requestsServed(mesh) > before);
            const ended = leaving.process.end("SIGTERM");
            expect((await answer).status).toBe(200);
            await ended;
        }));

    test("a backend server that leaves gets no new work once the news has spread, and loses no request", () =>
        sampleMesh({ ...small, seed: 207, latencyMs: 20 }, async (mesh) => {
            await applyFirst(mesh);
            const load = loadOn(mesh.callerAddresses, 207);
            const running = load.run();
            await moreRequests(mesh);
            const [leaving] = mesh.hosts[0].backends;
            await leaving.drain();
            await mesh.until("no node counts on it any more", async () => {
                const answers = await Promise.all(mesh.hosts.map(async ({ host }) => {
                    const members = (await (await fetch(`http://${host.advertised}/v1/members`)).json()) as readonly {
                        readonly id: string;
                        readonly endpoints: readonly { readonly state: string; }[];
                    }[];
                    return members.find(({ id }) => id === "node-1")?.endpoints[0]?.state;
                }));
                return answers.every((state) => state === "draining");
            });
            await moreRequests(mesh, 50);
            const after = leaving.statistics.requests;
            await moreRequests(mesh, 200);
            expect(leaving.statistics.requests).toBe(after);
            load.stop();
            expect(failureOf(await running)).toEqual({ failureReasons: {}, failed: 0, misdelivered: 0 });
        }));
});
