import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Callers } from "../lib/Callers.mjs";
import { configuration } from "../lib/configuration.mjs";
import { Deployment } from "../lib/Deployment.mjs";
import { Instance } from "../lib/Instance.mjs";
import { pause } from "../lib/pause.mjs";
import { runCase } from "../lib/runCase.mjs";

const RECORD = join(fileURLToPath(import.meta.url), "../record.txt");
const isTroubled = process.env.TROUBLE !== "0";

const DRAIN_MS = 2_000;
const CONTACT_MS = 3_000;
/** How late the instance's last heartbeat arrives. */
const LATE_MS = 2_500;
/** When the node is killed, after it has acknowledged that the instance leaves. */
const KILL_AFTER_MS = 300;
/** How long the instance goes on serving after the acknowledgement. */
const SERVES_MS = 9_000;

const deployment = new Deployment({
    zones: ["bg-west-a", "bg-west-b"],
    controls: 3,
    nodes: [
        { service: "tree-survey", zone: "bg-west-a" },
        { service: "tree-survey", zone: "bg-west-b" },
        { service: "tree-survey", zone: "bg-west-b" },
        ...Array.from({ length: 7 }, (_, index) => ({
            service: "canopy-map",
            zone: index % 2 === 0 ? "bg-west-a" : "bg-west-b",
        })),
    ],
});

const run = async () => {
    await deployment.start();
    const instances = deployment.nodes.map((node, index) => new Instance(deployment, node, { id: `i-${index + 1}` }));
    const [tested] = instances;
    const arrivals = [];
    tested.onArrival = (arrival) => arrivals.push(arrival);
    await Promise.all(instances.map((instance) => instance.start()));
    const route = {
        name: "species-look",
        host: "map.example",
        prefix: "/species/",
        kind: "idempotent",
        timeoutMs: 1_200,
        targetMs: 200,
        service: "tree-survey",
    };
    const body = configuration({ version: 1, routes: [route], services: ["canopy-map", "tree-survey"] });
    const accepted = await deployment.order("POST", "/filbertdeal/Config.Put", {
        body,
        headers: { "Base-Version": "0" },
    });
    if (accepted?.status !== 200) {
        throw new Error("the configuration was not accepted");
    }
    await deployment.waitUntilReady();
    const callers = new Callers(deployment);
    for (const node of deployment.nodes) {
        callers.run(node, { perSecond: 10, host: "map.example", path: "/species/oak" });
    }
    await pause(5_000);
    // Its last heartbeat, then it leaves by deregistering and goes on serving.
    if (isTroubled) {
        void tested.sendHeartbeat(LATE_MS);
    }
    else {
        await tested.sendHeartbeat();
    }
    await pause(100);
    const { status } = await tested.deregister();
    const acknowledgedMs = deployment.nowMs();
    if (status !== 200) {
        throw new Error("the deregistration was not acknowledged");
    }
    await pause(KILL_AFTER_MS);
    const [node] = deployment.nodes;
    if (isTroubled) {
        deployment.signal(node, "SIGKILL");
    }
    await pause(SERVES_MS - KILL_AFTER_MS);
    tested.stop();
    await pause(500);
    callers.stop();
    // All machines but that of the restarted node were in touch all along; it is again after `Contact`.
    const inTouchMs = Math.max(acknowledgedMs + DRAIN_MS, isTroubled ? node.startedAtMs + CONTACT_MS : 0);
    const sent = new Map(callers.sent.map((request) => [request.id, request]));
    const late = arrivals.filter(({ arrivedMs, id }) => arrivedMs > inTouchMs && sent.get(id).sentMs > inTouchMs);
    late.forEach(({ arrivedMs, id }) =>
        deployment.record("arrived-after-drain", {
            atMs: arrivedMs,
            request: id,
            from: sent.get(id).node,
            sinceAcknowledgementMs: Math.round(arrivedMs - acknowledgedMs),
            status: sent.get(id).status,
        })
    );
    const served = callers.sent.filter(({ status: outcome }) => outcome === 200).length;
    deployment.record("result", { arrivedLate: late.length, sent: callers.sent.length, served });
    deployment.recordRequests(callers.sent, instances);
    instances.slice(1).forEach((instance) => instance.stop());
    return late.length > 0 ? 1 : 0;
};

await runCase(deployment, RECORD, run);
