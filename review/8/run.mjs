import { writeFile } from "node:fs/promises";
import { Agent } from "node:http";
import { pause, StandInMesh } from "../lib-2/StandInMesh.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const LOSS_SLACK_MS = 200;
const GRACE_MS = 6_000;
const ROUTE_TIMEOUT_MS = 15_000;
/** A request that its server was at work on in this last part of the grace may be cut. */
const EXCUSED_FROM_MS = (GRACE_MS * 5) / 6;
const HOSTNAME = "desk.example";

const lines = [];
const record = (line) => lines.push(`${(performance.now() / 1_000).toFixed(3)} ${line}`);

const configuration = {
    ConfigVersion: 3,
    Routes: {
        Columns: [
            "Name",
            "Hostname",
            "PathPrefix",
            "RouteType",
            "Timeout",
            "TargetLatency",
            "Priority",
            "ServiceName",
            "Attempts",
            "TrafficSplit",
        ],
        Rows: [
            ["r-1", HOSTNAME, "/orders/", "non_idempotent", `${ROUTE_TIMEOUT_MS}ms`, "5000ms", 1, "desk", 2, null],
        ],
    },
    Services: {
        Columns: ["Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls"],
        Rows: [["front", "/healthz", 120, "h1", false], ["desk", "/healthz", 120, "h1", false]],
    },
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms" },
};

const run = async (mesh) => {
    await mesh.putConfiguration(configuration, 0);
    await mesh.waitUntilReady();
    await pause(2_000);
    const requests = [];
    const takesWork = new Map([["side-1", true], ["side-2", true]]);
    const pending = new Set();
    const agents = new Map([...takesWork.keys()].map((name) => [name, new Agent({ keepAlive: true })]));
    let termMs;
    const send = (node) => {
        const id = `${node}-${requests.length + 1}`;
        const request = { id, node, sentMs: performance.now() };
        requests.push(request);
        const answered = mesh.call(node, {
            path: "/orders/1",
            hostname: HOSTNAME,
            id,
            deadlineMs: ROUTE_TIMEOUT_MS,
            method: "POST",
            body: "{\"quantity\":1}",
            agent: agents.get(node),
        }).then((result) => {
            Object.assign(request, result);
            pending.delete(answered);
        });
        pending.add(answered);
    };
    const startClients = (node, perSecond) => {
        const timer = setInterval(() => takesWork.get(node) && send(node), 1_000 / perSecond);
        return () => clearInterval(timer);
    };
    // The server runs 20 requests a second and gets 30: some wait, the others are refused.
    const stops = [startClients("side-1", 10), startClients("side-2", 20)];
    await pause(10_000);
    termMs = performance.now();
    const end = HAS_TROUBLE ? mesh.terminate("side-1") : pause(GRACE_MS);
    record(HAS_TROUBLE ? "SIGTERM to side-1" : "no SIGTERM");
    // The platform asks once a second; after two misses the clients of the machine get no new work.
    let misses = 0;
    const checks = setInterval(async () => {
        misses = (await mesh.readiness("side-1")) === 200 ? 0 : misses + 1;
        if (misses >= 2 && takesWork.get("side-1")) {
            takesWork.set("side-1", false);
            record("side-1 gets no new work");
        }
    }, 1_000);
    await end;
    clearInterval(checks);
    stops.forEach((stop) => stop());
    await Promise.all(pending);
    agents.forEach((agent) => agent.destroy());
    const runs = new Map(mesh.servers.flatMap((server) => server.runs).map((one) => [one.id, one]));
    let lost = 0;
    for (const { endedMs, id, node, reason, sentMs, status } of requests) {
        const ran = runs.get(id);
        const isCut = status === 0 && endedMs > LOSS_SLACK_MS && endedMs < ROUTE_TIMEOUT_MS;
        // Whatever a server was ever at work on is left out, also where it began before the last sixth of the grace.
        const isLost = node === "side-1" && isCut && ran === undefined;
        lost += isLost ? 1 : 0;
        const afterTermMs = Math.round(sentMs - termMs);
        record(
            `request ${id} sent=${afterTermMs}ms after the SIGTERM status=${status} ${reason} after ${endedMs}ms`
                + ` ran=${ran?.outcome ?? "never"}${isLost ? " LOST" : ""}`,
        );
    }
    const count = (predicate) => requests.filter(predicate).length;
    record(
        `sent ${requests.length}, answered 200: ${count(({ status }) => status === 200)}, 503: ${
            count(({ status }) => status === 503)
        }, no answer: ${count(({ status }) => status === 0)}, LOST: ${lost}`,
    );
    if (count(({ status }) => status === 200) < 100) {
        return 2;
    }
    return lost > 0 ? 1 : 0;
};

let code = 2;
let mesh;
try {
    mesh = await StandInMesh.start({
        record,
        nodes: [
            { name: "side-1", service: "front", zone: "zone-a", server: { id: "i-1" } },
            { name: "side-2", service: "front", zone: "zone-b", server: { id: "i-2" } },
            { name: "side-3", service: "desk", zone: "zone-c", server: { id: "i-3", workMs: () => 300 } },
        ],
    });
    code = await run(mesh);
}
catch (error) {
    record(`could not run: ${error.stack}`);
}
await mesh?.dispose();
record(`exit ${code}; excused are requests at work from ${EXCUSED_FROM_MS} ms after the SIGTERM on`);
await writeFile(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
process.exit(code);
