import { Command } from "commander";
import { request } from "undici";
import { MemberRecord } from "../membership/MemberRecord";
import { MemberStatus } from "../membership/MemberStatus";
import { CliContext } from "./CliContext";
import { formatTable } from "./formatTable";

const ACCEPTED = 202;

const describeMembers = (members: readonly MemberRecord[]): string =>
    formatTable(
        ["HOST", "ZONE", "STATUS", "BACKEND SERVERS"],
        members.map(({ endpoints, id, status, zone }) => [
            id,
            zone,
            MemberStatus[status].toLowerCase(),
            endpoints.map(({ backendVersion, service, state }) => `${service} ${backendVersion} ${state}`).join(", "),
        ]),
    );

/** Adds the commands that call a single node. */
export const addHostCommands = (program: Command, context: CliContext): void => {
    program
        .command("hosts <node>")
        .description("show the members of the mesh that a node knows; <node> is its host address, IP:PORT")
        .action(async (node: string) => {
            const { body, statusCode } = await request(`http://${node}/v1/members`);
            const response = { status: statusCode, body: await body.json() };
            context.show(response, (members) => describeMembers(members as readonly MemberRecord[]));
        });
    program
        .command("drain <node>")
        .description("stop a node gracefully; <node> is its host address, IP:PORT")
        .requiredOption("--secret <text>", "shared secret of the mesh")
        .action(async (node: string, { secret }: { readonly secret: string; }) => {
            const headers = { authorization: `Bearer ${secret}` };
            const { body, statusCode } = await request(`http://${node}/v1/drain`, { method: "POST", headers });
            const response = { status: statusCode === ACCEPTED ? 200 : statusCode, body: await body.json() };
            context.show(response, () => `${node} finishes its requests and stops`);
        });
};
