import { writeFile } from "node:fs/promises";
import { dirname, join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { configuration } from "../lib-3/configuration.mjs";
import { StandInClients } from "../lib-3/StandInClients.mjs";
import { StandInMesh } from "../lib-3/StandInMesh.mjs";
import { StandInOperator } from "../lib-3/StandInOperator.mjs";
import { StandInServer } from "../lib-3/StandInServer.mjs";

const SERVICE = "canopy";
const RECOVERY_MS = 15_000;
const DRAIN_MS = 2_000;
const hasTrouble = process.env.TROUBLE !== "0";
const lines = [];
const startMs = performance.now();
const record = (text) => lines.push(`${((performance.now() - startMs) / 1_000).toFixed(3)} ${text}`);

const mesh = await StandInMesh.start({ controlCount: 3, services: Array(6).fill(SERVICE) });
const createServer = (index, version) => {
    const { host, zone } = mesh.nodes[index];
    const id = `i-${index + 1}-${version}`;
    const { controlPort, instancePort: port } = mesh;
    return new StandInServer({ id, service: SERVICE, version, host, port, controlPort, zone });
};
const servers = [0, 1, 2, 3].map((index) => createServer(index, "v1"));
/** The platform starts the instances of an ordered version beside the old ones. */
const startBeside = async (version, failureShare) => {
    const added = [4, 5].map((index) => createServer(index, version));
    servers.push(...added);
    added.forEach((server) => (server.failureShare = failureShare));
    await Promise.all(added.map((server) => server.start()));
    return added;
};
const clients = mesh.nodes.slice(0, 4).map(({ host, name }) =>
    new StandInClients({
        host,
        port: mesh.outboundPort,
        hostname: "mesh.example",
        path: `/${SERVICE}/a`,
        perSecond: 5,
        name,
    })
);
const operator = new StandInOperator(mesh.controls.map(({ host }) => host), mesh.controlPort, record);
const takeAnswers = () => clients.flatMap((client) => client.answers.splice(0));
const order = (version) =>
    operator.order(
        `order of ${version}`,
        "POST",
        "/filbertdeal/Rollouts.Start",
        JSON.stringify({ ServiceName: SERVICE, TargetVersion: version, Duration: "16s" }),
    );
const readState = async () => {
    const { text } = await operator.order("read", "GET", `/filbertdeal/Rollouts.Get/${SERVICE}`);
    return JSON.parse(text || "{}").State;
};
const describe = (label, answers) => {
    const counts = {};
    answers.forEach(({ status }) => (counts[status] = (counts[status] ?? 0) + 1));
    const served = answers.filter(({ status }) => status === 200).length / Math.max(1, answers.length);
    record(
        `${label}: ${answers.length} requests, ${(served * 100).toFixed(1)} % served, by status ${
            JSON.stringify(counts)
        }`,
    );
    return served;
};
let code = 2;
try {
    await operator.order("configuration", "POST", "/filbertdeal/Config.Put", configuration(1, [SERVICE]), {
        headers: { "Base-Version": "0" },
    });
    await Promise.all(servers.map((server) => server.start()));
    await pause(3_000);
    clients.forEach((client) => void client.run());
    await pause(5_000);
    const before = describe("before", takeAnswers());
    let isOrdered = true;
    if (hasTrouble) {
        const bad = await startBeside("v2", 0.5);
        await order("v2");
        let state = "";
        while (state !== "rolled_back" && performance.now() - startMs < 40_000) {
            await pause(300);
            state = await readState();
        }
        describe(`until the rollout of v2 was ${state}`, takeAnswers());
        await pause(1_000);
        await Promise.all(bad.map((server) => server.leave(DRAIN_MS)));
        describe("until the instances of v2 had left", takeAnswers());
        await startBeside("v1", 0);
        isOrdered = (await order("v1")).status === 200;
    }
    record("final fault: all processes are killed");
    await mesh.killAll([...mesh.controls, ...mesh.nodes], 500);
    await pause(RECOVERY_MS);
    describe("in the time of the recovery", takeAnswers());
    await pause(15_000);
    const after = describe("after the recovery", takeAnswers());
    if (hasTrouble) {
        await readState();
    }
    code = !isOrdered || before < 0.25 ? 2 : after < 0.25 ? 1 : 0;
}
finally {
    clients.forEach((client) => client.stop());
    servers.forEach((server) => server.stop());
    await mesh.end();
    record(`exit ${code}`);
    await writeFile(join(dirname(fileURLToPath(import.meta.url)), "record.txt"), `${lines.join("\n")}\n`);
}
process.exit(code);
