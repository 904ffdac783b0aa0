import { Command } from "commander";
import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { CliContext } from "./CliContext";
import { formatTable } from "./formatTable";

const describeReplicas = (body: unknown): string => {
    const { commitIndex, leaderId, membership, term } = body as ConsensusStatus;
    const rows = [
        ...membership.voters.map(({ address, id }) => [id, address, id === leaderId ? "leader" : "voter"]),
        ...membership.learners.map(({ address, id }) => [id, address, "learner"]),
    ];
    return `${formatTable(["REPLICA", "ADDRESS", "PART"], rows)}\nterm ${term}, committed up to ${commitIndex}`;
};

/** Adds the commands that show and change the control replicas. */
export const addReplicaCommands = (program: Command, context: CliContext): void => {
    const change = async (body: object): Promise<void> => {
        context.show(await context.call({ method: "POST", path: "/v1/replicas", body }), describeReplicas);
    };
    const replicas = program.command("replicas").description("show or change the control replicas");
    replicas
        .command("list", { isDefault: true })
        .description("show the replicas")
        .action(async () => {
            context.show(await context.call({ method: "GET", path: "/v1/replicas" }), describeReplicas);
        });
    replicas
        .command("add <id> <ip:port>")
        .description("add a replica as a learner, which receives the log without voting")
        .action((id: string, address: string) => change({ kind: "add-learner", id, address }));
    replicas
        .command("promote <id>")
        .description("make a learner that has caught up a voter")
        .action((id: string) => change({ kind: "promote", id }));
    replicas
        .command("remove <id>")
        .description("remove a replica")
        .action((id: string) => change({ kind: "remove", id }));
};
