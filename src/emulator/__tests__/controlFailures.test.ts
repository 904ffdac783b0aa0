import { MoveResult } from "../../catalogue/MoveResult";
import { AdminClient } from "../../cli/AdminClient";
import { entryOf } from "../entryOf";
import { MeshOperator } from "../MeshOperator";
import { revisionHistory } from "../revisionHistory";
import { sampleMesh } from "../sampleMesh";

const small = { zones: 2, hostsPerZone: 2, services: ["map"], withFaults: true } as const;

describe("control under failure", () => {
    test("a leader killed in the middle of a move loses nothing, and the move ends", () =>
        sampleMesh({ ...small, seed: 101 }, async (mesh) => {
            const operator = new MeshOperator(mesh);
            await operator.ended("map", await operator.apply(entryOf("map", { backendVersion: "v1" })));
            const version = await operator.apply(
                entryOf("map", { backendVersion: "v1", requestShareSteps: [0.1, 0.5, 1], timeoutMs: 1_999 }),
            );
            const leader = await mesh.leader();
            await leader.process.waitFor("move-advanced");
            await leader.process.end("SIGKILL");
            const status = await operator.ended("map", version);
            expect(status.lastOutcome).toMatchObject({ version, result: MoveResult.Finished });
            expect(revisionHistory.goingBack(mesh)).toEqual([]);
            await mesh.startReplica(leader.id);
            await mesh.until("the killed replica follows", async () => {
                const followed = mesh.replicas.find(({ id }) => id === leader.id);
                return followed?.process.history.some((event) => event.get("role") === "follower");
            });
        }));

    test("a leader in a silent partition steps down; the others go on; it follows once healed", () =>
        sampleMesh({ ...small, seed: 102 }, async (mesh) => {
            const operator = new MeshOperator(mesh);
            await operator.apply(entryOf("map", { backendVersion: "v1" }));
            const leader = await mesh.leader();
            const address = leader.admin.advertised;
            const [leaderIp] = leader.peer.advertised.split(":");
            const others = mesh.replicas.filter(({ id }) => id !== leader.id);
            others.forEach(({ peer }) => peer.proxy?.cut((source) => source === leaderIp));
            leader.peer.proxy?.freeze();
            await leader.process.waitFor(
                "role-changed",
                (event) =>
                    event.get("role") !== "leader" && Number(event.get("term")) >= 1
                    && event.get("leader") === undefined,
            );
            const version = await operator.apply(entryOf("map", { backendVersion: "v1", timeoutMs: 1_500 }));
            expect(version).toBe(2);
            // What the isolated replica knows may be old, so it must not answer.
            const alone = new AdminClient({ addresses: [address], token: "operator-token" });
            const answer = await alone.call({ method: "GET", path: "/v1/entries/map" });
            expect(answer.status).not.toBe(200);
            mesh.healAll();
            await mesh.until("the healed replica has caught up", async () => {
                const { body } = await alone.call({ method: "GET", path: "/v1/replicas" });
                const status = body as { readonly role: string; readonly leaderId?: string; };
                return status.role === "follower" && status.leaderId !== undefined;
            });
        }));

    test("two operators who race on equal version numbers get one acceptance; a resend gets the first answer", () =>
        sampleMesh({ ...small, hostsPerZone: 1, seed: 103 }, async (mesh) => {
            const apply = (idempotencyKey: string, timeoutMs: number) =>
                new AdminClient({ addresses: mesh.adminAddresses, token: "operator-token" }).call({
                    method: "POST",
                    path: "/v1/entries/map",
                    body: { entry: entryOf("map", { backendVersion: "v1", timeoutMs }), expectedVersion: 0 },
                    idempotencyKey,
                });
            const answers = await Promise.all([apply("first", 1_000), apply("second", 1_001)]);
            expect(answers.map(({ status }) => status).sort()).toEqual([200, 409]);
            const winner = answers[0].status === 200 ? "first" : "second";
            const accepted = answers.find(({ status }) => status === 200);
            await (await mesh.leader()).process.end("SIGKILL");
            expect(await apply(winner, 1_000)).toEqual(accepted);
        }));

    test("a lost replica is replaced; a second loss right after loses nothing accepted", () =>
        sampleMesh({ ...small, hostsPerZone: 1, seed: 104, snapshotEvery: 5 }, async (mesh) => {
            const operator = new MeshOperator(mesh);
            for (let change = 0; change < 8; change += 1) {
                await operator.apply(entryOf("map", { backendVersion: "v1", timeoutMs: 1_000 + change }));
            }
            const leader = await mesh.leader();
            const [lost, second] = mesh.replicas.filter(({ id }) => id !== leader.id);
            await lost.process.end("SIGKILL");
            const spare = await mesh.addReplica("control-4");
            const change = (body: object) => mesh.admin.call({ method: "POST", path: "/v1/replicas", body });
            const step = (body: object) =>
                mesh.until(
                    `the group accepts ${JSON.stringify(body)}`,
                    async () => (await change(body)).status === 200,
                );
            await step({ kind: "add-learner", id: spare.id, address: spare.peer.advertised });
            await step({ kind: "promote", id: spare.id });
            await step({ kind: "remove", id: lost.id });
            await second.process.end("SIGKILL");
            const answer = await mesh.admin.call({ method: "GET", path: "/v1/entries/map" });
            expect(answer.body).toMatchObject({ version: 8 });
            expect(await operator.apply(entryOf("map", { backendVersion: "v1" }))).toBe(9);
        }));

    test("without a quorum nothing is accepted, and the answer says that the outcome is unknown", () =>
        sampleMesh({ ...small, hostsPerZone: 1, seed: 105 }, async (mesh) => {
            const operator = new MeshOperator(mesh);
            await operator.apply(entryOf("map", { backendVersion: "v1" }));
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
                body: { entry: entryOf("map", { backendVersion: "v2" }), expectedVersion: 1 },
                idempotencyKey: "no-quorum",
            });
            expect([421, 503]).toContain(answer.status);
        }));
});
