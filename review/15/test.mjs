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
const hasTrouble = process.env.TROUBLE !== "0";
const lines = [];
const startMs = performance.now();
const record = (text) => lines.push(`${((performance.now() - startMs) / 1_000).toFixed(3)} ${text}`);

const mesh = await StandInMesh.start({ controlCount: 3, services: Array(8).fill(SERVICE) });
const versionOf = (index) => (index < 4 ? "v1" : index < 6 ? "v2" : "v3");
const servers = mesh.nodes.map(({ host, zone }, index) =>
    new StandInServer({
        id: `i-${index + 1}`,
        service: SERVICE,
        version: versionOf(index),
        host,
        port: mesh.instancePort,
        controlPort: mesh.controlPort,
        zone,
    })
);
const clients = mesh.nodes.slice(0, 4).map(({ host, name }) =>
    new StandInClients({
        host,
        port: mesh.outboundPort,
        hostname: "mesh.example",
        path: `/${SERVICE}/a`,
        perSecond: 40,
        name,
    })
);
const hosts = mesh.controls.map(({ host }) => host);
const [first, second] = ["A", "B"].map(() => new StandInOperator(hosts, mesh.controlPort, record));
const readRollout = async (label) => {
    const { text } = await second.order(label, "GET", `/filbertdeal/Rollouts.Get/${SERVICE}`);
    return JSON.parse(text || "{}");
};
const orderOf = (version) => JSON.stringify({ ServiceName: SERVICE, TargetVersion: version, Duration: "16s" });
let code = 2;
try {
    await first.order("put", "POST", "/filbertdeal/Config.Put", configuration(1, [SERVICE]), {
        headers: { "Base-Version": "0" },
    });
    await Promise.all(servers.map((server) => server.start()));
    clients.forEach((client) => void client.run());
    await pause(4_000);
    const isAnswerLost = (attempt) => hasTrouble && attempt === 1;
    const orderA = first.order("A: order of v2", "POST", "/filbertdeal/Rollouts.Start", orderOf("v2"), {
        isAnswerLost,
    });
    await pause(300);
    const before = await readRollout("read before B");
    const answerB = await second.order("B: order of v3", "POST", "/filbertdeal/Rollouts.Start", orderOf("v3"));
    const afterB = await readRollout("read after B");
    const answerA = await orderA;
    const afterA = await readRollout("read after A was sent again");
    if (hasTrouble) {
        record("final fault: all processes are killed");
        await mesh.killAll([...mesh.controls, ...mesh.nodes]);
    }
    let last = {};
    for (let reads = 0; reads < 6; reads += 1) {
        last = await readRollout("read at the end");
        await pause(300);
    }
    record(
        `before B ${before.TargetVersion}, after B ${afterB.TargetVersion}, after A again ${afterA.TargetVersion}, at the end ${last.TargetVersion}`,
    );
    const couldRun = answerA.status === 200 && answerB.status === 200 && before.TargetVersion === "v2"
        && afterB.TargetVersion === "v3" && last.TargetVersion !== undefined;
    code = !couldRun ? 2 : last.TargetVersion === "v3" ? 0 : 1;
}
finally {
    clients.forEach((client) => client.stop());
    servers.forEach((server) => server.stop());
    await mesh.end();
    const counts = {};
    clients.flatMap(({ answers }) => answers).forEach(({ status }) => (counts[status] = (counts[status] ?? 0) + 1));
    record(`answers ${JSON.stringify(counts)}`);
    record(`exit ${code}`);
    await writeFile(join(dirname(fileURLToPath(import.meta.url)), "record.txt"), `${lines.join("\n")}\n`);
}
process.exit(code);
