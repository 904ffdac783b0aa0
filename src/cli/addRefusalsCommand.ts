import { Command } from "commander";
import { callOperators } from "./callOperators";
import { CliContext } from "./CliContext";
import { ExitCode } from "./ExitCode";
import { formatTable } from "./formatTable";

type RefusalsOptions = {
    readonly operators: string;
    readonly lift?: string;
};

/** A request under which backend servers crashed, as control replicas list it. */
type ListedRefusal = {
    readonly Fingerprint: string;
    readonly ServiceName: string;
    readonly Crashes: number;
    readonly State: string;
    readonly RetryAfter?: string;
};

type RefusalsBody = {
    readonly Requests: readonly ListedRefusal[];
    readonly Lifted: boolean;
};

const FIRST_SERVER_ERROR = 500;
const SUCCEEDED = 200;

const describe = (requests: readonly ListedRefusal[]): string =>
    requests.length === 0
        ? "no backend server crashed under a request lately"
        : formatTable(
            ["fingerprint", "service", "crashes", "state", "for"],
            requests.map(({ Crashes, Fingerprint, RetryAfter, ServiceName, State }) => [
                Fingerprint,
                ServiceName,
                String(Crashes),
                State,
                RetryAfter ?? "",
            ]),
        );

/** Adds the command that lists the requests under which backend servers crashed, or lifts the refusal of one. */
export const addRefusalsCommand = (program: Command, { environment }: CliContext): void => {
    program
        .command("refusals")
        .description("list the requests that are refused since backend servers crashed under them")
        .option("--lift <fingerprint>", "serve this request again, for example after the fault was repaired")
        .requiredOption("--operators <ip:port,...>", "operators' addresses of the control replicas on the platform")
        .action(async ({ lift, operators }: RefusalsOptions) => {
            const addresses = operators.split(",").filter(Boolean);
            const { body, status } = await callOperators<RefusalsBody>(
                addresses,
                lift === undefined ? "GET" : "POST",
                `/filbertdeal/Refusals.${lift === undefined ? "List" : `Lift/${encodeURIComponent(lift)}`}`,
            );
            if (status !== SUCCEEDED) {
                environment.printError(`error: ${body.Error}`);
                const isRejected = status > 0 && status < FIRST_SERVER_ERROR;
                environment.exit(isRejected ? ExitCode.Refused : ExitCode.Unavailable);
                return;
            }
            const lifted = body.Lifted ? `${lift} is served again` : `no crash counts against ${lift}`;
            environment.print(lift === undefined ? describe(body.Requests ?? []) : lifted);
        });
};
