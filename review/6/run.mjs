import { writeFile } from "node:fs/promises";
import { pause, StandInMesh } from "../lib-2/StandInMesh.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const CONFIG_APPLY_MS = 2_000;
const HOSTNAME = "survey.example";

const lines = [];
const record = (line) => lines.push(`${(performance.now() / 1_000).toFixed(3)} ${line}`);

const LABEL = "Plane trees, boulevard, spring survey ";
/** A tool that cuts names after a number of UTF-16 units leaves half of the last character. */
const NAME = `${LABEL}${HAS_TROUBLE ? "\u{1F333}".slice(0, 1) : "\u{1F333}"}`;

const configurationOf = (version, added) => ({
    ConfigVersion: version,
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
            ["r-1", HOSTNAME, "/trees/", "idempotent", "1200ms", "400ms", 1, "survey", 2, null],
            ...added.map((name) => [name, HOSTNAME, "/spring/", "idempotent", "1200ms", "400ms", 1, "survey", 2, null]),
        ],
    },
    Services: {
        Columns: ["Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls"],
        Rows: [["survey", "/healthz", 120, "h1", false]],
    },
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms" },
});

const run = async (mesh) => {
    await mesh.putConfiguration(configurationOf(3, []), 0);
    await mesh.waitUntilReady();
    await pause(3_000);
    const headers = { "Base-Version": "3", "Content-Type": "application/json" };
    const body = JSON.stringify(configurationOf(5, [NAME]));
    const put = await mesh.order("POST", "/filbertdeal/Config.Put", headers, body);
    record(`operator Config.Put version=5 status=${put.status} ${put.text}`);
    if (put.status >= 400) {
        record("the configuration was refused, which any page allows for one that can't be read");
        return 0;
    }
    await pause(CONFIG_APPLY_MS + 500);
    // The route is in the acknowledged version, so a 404 is what only an older version allows.
    let stale = 0;
    let served = 0;
    for (const { name } of mesh.nodes) {
        for (let index = 0; index < 10; index += 1) {
            const sendTo = (path, id) => mesh.call(name, { path, hostname: HOSTNAME, id, deadlineMs: 1_200 });
            const old = await sendTo("/trees/1", `old-${name}-${index}`);
            const { status } = await sendTo("/spring/1", `new-${name}-${index}`);
            served += old.status === 200 ? 1 : 0;
            stale += status === 404 ? 1 : 0;
            const ran = new Set(mesh.allRuns().map(({ id }) => id));
            record(
                `request old-${name}-${index} on the old route: ${old.status} ran=${ran.has(`old-${name}-${index}`)}`,
            );
            record(`request new-${name}-${index} on the new route: ${status} ran=${ran.has(`new-${name}-${index}`)}`);
        }
    }
    if (served === 0) {
        return 2;
    }
    const readVersion = async (when) => {
        const { status, text } = await mesh.order("GET", "/filbertdeal/Config.Get");
        const version = JSON.parse(text).ConfigVersion;
        record(`operator Config.Get ${when}: status=${status} version=${version}`);
        return version;
    };
    const before = await readVersion("before the kill");
    const leader = await mesh.findLeader();
    record(`SIGKILL to ${leader}, which serves the operator`);
    await mesh.restart(leader, 1_000);
    await pause(4_000);
    const versions = [before];
    for (let index = 0; index < 6; index += 1) {
        versions.push(await readVersion(`${index + 1} after the kill`));
        await pause(500);
    }
    const older = versions.filter((version) => version < 5).length;
    record(
        `SUMMARY acknowledged version 5; ${older} of ${versions.length} reads gave an older version; ${stale} of ${
            mesh.nodes.length * 10
        } requests on its route got 404 later than ConfigApply after the acknowledgement`,
    );
    return older > 0 || stale > 0 ? 1 : 0;
};

let code = 2;
let mesh;
try {
    mesh = await StandInMesh.start({
        record,
        nodes: ["a", "b", "c"].map((zone, index) => ({
            name: `side-${index + 1}`,
            service: "survey",
            zone: `zone-${zone}`,
            server: { id: `i-${index + 1}` },
        })),
    });
    code = await run(mesh);
}
catch (error) {
    record(`could not run: ${error.stack}`);
}
await mesh?.dispose();
record(`exit ${code}`);
await writeFile(new URL("record.txt", import.meta.url), `${lines.join("\n")}\n`);
process.exit(code);
