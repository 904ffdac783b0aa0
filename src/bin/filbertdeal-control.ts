#!/usr/bin/env node
import { controlSettingsSchema } from "../control/controlSettingsSchema";
import { createControl } from "../control/createControl";
import { onStopSignal } from "../process/onStopSignal";
import { readSettings } from "../process/readSettings";
import { runProgram } from "../process/runProgram";
import { SettingOption } from "../process/SettingOption";

const options: readonly SettingOption[] = [
    { flags: "--id <name>", description: "name of this replica, unique in the group" },
    { flags: "--peer-address <ip:port>", description: "where other processes of the system connect" },
    { flags: "--admin-address <ip:port>", description: "where the administration API is served" },
    { flags: "--advertise <ip:port>", description: "peer address that others use, if it differs" },
    { flags: "--data-folder <path>", description: "folder for the log and snapshots, on a disk" },
    { flags: "--replicas <id=ip:port,...>", description: "all voting replicas of a new group, this one included" },
    { flags: "--join", description: "join a running group; an operator has to add this replica as a learner" },
    { flags: "--secret <text>", description: "secret shared by all processes of the mesh" },
    {
        flags: "--operators <name:token:owner:class,...>",
        description: "operators, each with the owner and class of entries it may change; * matches all",
    },
    { flags: "--seed <number>", description: "seed of the random number generator (1)" },
    { flags: "--snapshot-every <entries>", description: "log entries between snapshots (500)" },
    {
        flags: "--election-timeout-ms <ms>",
        description: "minimum time without a message from the leader before an election (800)",
    },
    { flags: "--statsd <ip:port>", description: "StatsD server for metrics; none by default" },
];

runProgram(async () => {
    const description = "A replica of the configuration source. It stores the catalogue and drives moves.";
    const settings = readSettings("filbertdeal-control", description, options, controlSettingsSchema);
    const control = await createControl(settings, () => process.exit(1));
    onStopSignal(async () => control.dispose());
});
