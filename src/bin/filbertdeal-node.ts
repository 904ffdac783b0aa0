#!/usr/bin/env node
import { createNode } from "../node/createNode";
import { nodeSettingsSchema } from "../node/nodeSettingsSchema";
import { onStopSignal } from "../process/onStopSignal";
import { readSettings } from "../process/readSettings";
import { runProgram } from "../process/runProgram";
import { SettingOption } from "../process/SettingOption";

const options: readonly SettingOption[] = [
    { flags: "--id <name>", description: "name of this node, unique in the mesh and the same after a restart" },
    { flags: "--zone <name>", description: "availability zone of this host" },
    { flags: "--peer-address <ip:port>", description: "where other processes of the system connect" },
    { flags: "--caller-address <ip:port>", description: "where callers send their requests" },
    { flags: "--inbound-address <ip:port>", description: "where other nodes send requests for this host" },
    { flags: "--host-address <ip:port>", description: "where backend servers on this host register" },
    { flags: "--advertise-peer <ip:port>", description: "peer address that others use, if it differs" },
    { flags: "--advertise-inbound <ip:port>", description: "inbound address that others use, if it differs" },
    { flags: "--controls <ip:port,...>", description: "peer addresses of the control replicas" },
    { flags: "--seeds <ip:port,...>", description: "peer addresses of a few nodes in each availability zone" },
    { flags: "--services <name,...>", description: "services that callers of this node use" },
    { flags: "--secret <text>", description: "secret shared by all processes of the mesh" },
    { flags: "--seed <number>", description: "seed of the random number generator (1)" },
    { flags: "--drain-timeout-ms <ms>", description: "longest wait for requests in progress at shutdown (30000)" },
    { flags: "--statsd <ip:port>", description: "StatsD server for metrics; none by default" },
];

runProgram(async () => {
    const description = "The process that runs on each host of backend servers: proxy, configuration agent and relay.";
    const settings = readSettings("filbertdeal-node", description, options, nodeSettingsSchema);
    const stop = onStopSignal(async () => (await node).stop());
    const node = createNode(settings, () => stop());
    await node;
});
