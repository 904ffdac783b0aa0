import { RolloutResult } from "../../catalogue/RolloutResult";
import { AdminClient } from "../../cli/AdminClient";
import { createEntry } from "../createEntry";
import { MeshOperator } from "../MeshOperator";
import { revisionHistory } from "../revisionHistory";
import { withUniformMesh } from "../withUniformMesh";

const smallMesh = { zones: 2, hostsPerZone: 2, services: ["map"], withFaults: true } as const;

describe("control replicas under failure", () => {
    test("a leader killed during a rollout: the rollout finishes and no node returns to an older revision", () =>
        withUniformMesh({ ...smallMesh, seed: 101 }, async (mesh) => {
            const operator = new MeshOperator(mesh);
            await operator.waitUntilEnded("map", await operator.apply(createEntry("map", { backendVersion: "v1" })));
            const version = await operator.apply(
                createEntry("map", { backendVersion: "v1", requestShareSteps: [0.1, 0.5, 1], timeoutMs: 1_999 }),
            );
            const leader = await mesh.leader();
            await leader.process.waitFor("move-advanced");
            await leader.process.end("SIGKILL");
            const status = await operator.waitUntilEnded("map", version);
            expect(status.lastOutcome).toMatchObject({ version, result: RolloutResult.Finished });
            expect(revisionHistory.regressions(mesh)).toEqual([]);
            await mesh.restartReplica(leader.id);
            await mesh.waitUntil("the restarted replica is a follower", async () => {
                const restarted = mesh.replicas.find(({ id }) => id === leader.id);
                return restarted?.process.history.some((event) => event.get("role") === "follower");
            });
        }));

    test("a leader in a silent partition steps down, the others accept entries, and it rejoins as follower", () =>
        withUniformMesh({ ...smallMesh, seed: 102 }, async (mesh) => {
            const operator = new MeshOperator(mesh);
            await operator.apply(createEntry("map", { backendVersion: "v1" }));
            const leader = await mesh.leader();
            const address = leader.admin.advertised;
            const [leaderIp] = leader.peer.advertised.split(":");
            const others = mesh.replicas.filter(({ id }) => id !== leader.id);
            others.forEach(({ peer }) => peer.proxy?.blockSources((source) => source === leaderIp));
            leader.peer.proxy?.silenceAllConnections();
            await leader.process.waitFor(
                "role-changed",
                (event) =>
                    event.get("role") !== "leader" && Number(event.get("term")) >= 1
                    && event.get("leader") === undefined,
            );
            const version = await operator.apply(createEntry("map", { backendVersion: "v1", timeoutMs: 1_500 }));
            expect(version).toBe(2);
            // The isolated replica's state may be stale, so it must not answer reads.
            const isolatedClient = new AdminClient({ addresses: [address], token: "operator-token" });
            const answer = await isolatedClient.call({ method: "GET", path: "/v1/entries/map" });
            expect(answer.status).not.toBe(200);
            mesh.endFaults();
            await mesh.waitUntil("the replica follows the new leader", async () => {
                const { body } = await isolatedClient.call({ method: "GET", path: "/v1/replicas" });
                const status = body as { readonly role: string; readonly leaderId?: string; };
                return status.role === "follower" && status.leaderId !== undefined;
            });
        }));

    test("one of two concurrent applies is accepted; a resend gets the same answer after a change of leader", () =>
        withUniformMesh({ ...smallMesh, hostsPerZone: 1, seed: 103 }, async (mesh) => {
            const apply = (idempotencyKey: string, timeoutMs: number) =>
                new AdminClient({ addresses: mesh.adminAddresses, token: "operator-token" }).call({
                    method: "POST",
                    path: "/v1/entries/map",
                    body: { entry: createEntry("map", { backendVersion: "v1", timeoutMs }), expectedVersion: 0 },
                    idempotencyKey,
                });
            const answers = await Promise.all([apply("first", 1_000), apply("second", 1_001)]);
            expect(answers.map(({ status }) => status).sort()).toEqual([200, 409]);
            const winner = answers[0].status === 200 ? "first" : "second";
            const accepted = answers.find(({ status }) => status === 200);
            await (await mesh.leader()).process.end("SIGKILL");
            expect(await apply(winner, 1_000)).toEqual(accepted);
        }));

    test("a lost replica is replaced; losing another one right afterwards loses no accepted entry", () =>
        withUniformMesh({ ...smallMesh, hostsPerZone: 1, seed: 104, snapshotEvery: 5 }, async (mesh) => {
            const operator = new MeshOperator(mesh);
            for (let change = 0; change < 8; change += 1) {
                await operator.apply(createEntry("map", { backendVersion: "v1", timeoutMs: 1_000 + change }));
            }
            const leader = await mesh.leader();
            const [lost, second] = mesh.replicas.filter(({ id }) => id !== leader.id);
            await lost.process.end("SIGKILL");
            const spare = await mesh.addReplica("control-4");
            const change = (body: object) => mesh.admin.call({ method: "POST", path: "/v1/replicas", body });
            const changeMembership = (body: object) =>
                mesh.waitUntil(
                    `the group accepts ${JSON.stringify(body)}`,
                    async () => (await change(body)).status === 200,
                );
            await changeMembership({ kind: "add-learner", id: spare.id, address: spare.peer.advertised });
            await changeMembership({ kind: "promote", id: spare.id });
            await changeMembership({ kind: "remove", id: lost.id });
            await second.process.end("SIGKILL");
            const answer = await mesh.admin.call({ method: "GET", path: "/v1/entries/map" });
            expect(answer.body).toMatchObject({ version: 8 });
            expect(await operator.apply(createEntry("map", { backendVersion: "v1" }))).toBe(9);
        }));

    test("an apply without a quorum is answered with status 421 or 503", () =>
        withUniformMesh({ ...smallMesh, hostsPerZone: 1, seed: 105 }, async (mesh) => {
            const operator = new MeshOperator(mesh);
            await operator.apply(createEntry("map", { backendVersion: "v1" }));
            const leader = await mesh.leader();
            const others = mesh.replicas.filter(({ id }) => id !== leader.id);
            await Promise.all(others.map(({ process: managed }) => managed.end("SIGKILL")));
            await leader.process.waitFor(
                "role-changed",
                (event) => event.get("role") !== "leader" && event.get("leader") === undefined,
            );
            const answer = await mesh.admin.call({
                method: "POST",
                path: "/v1/entries/map",
                body: { entry: createEntry("map", { backendVersion: "v2" }), expectedVersion: 1 },
                idempotencyKey: "no-quorum",
            });
            expect([421, 503]).toContain(answer.status);
        }));
});
