import { Command } from "commander";
import { callOperators } from "./callOperators";
import { CliContext } from "./CliContext";
import { ExitCode } from "./ExitCode";

type EvacuateOptions = {
    readonly operators: string;
    readonly stop?: boolean;
};

type EvacuationBody = { readonly Zones: readonly string[]; };

const FIRST_SERVER_ERROR = 500;
const SUCCEEDED = 200;

/** Adds the command that evacuates an availability zone, puts it back, or lists the evacuated zones. */
export const addEvacuateCommand = (program: Command, { environment }: CliContext): void => {
    program
        .command("evacuate [zone]")
        .description("take the backend servers of a zone out of service; without a zone, list the evacuated ones")
        .option("--stop", "put the zone back into service")
        .requiredOption("--operators <ip:port,...>", "operators' addresses of the control replicas on the platform")
        .action(async (zone: string | undefined, { operators, stop }: EvacuateOptions) => {
            const addresses = operators.split(",").filter(Boolean);
            const path = zone === undefined ? "List" : `${stop ? "Stop" : "Start"}/${encodeURIComponent(zone)}`;
            if (zone === undefined && stop) {
                environment.printError("error: --stop needs the zone to put back");
                environment.exit(ExitCode.Usage);
                return;
            }
            const { body, status } = await callOperators<EvacuationBody>(
                addresses,
                zone === undefined ? "GET" : "POST",
                `/filbertdeal/Evacuations.${path}`,
            );
            if (status !== SUCCEEDED) {
                environment.printError(`error: ${body.Error}`);
                const isRejected = status > 0 && status < FIRST_SERVER_ERROR;
                environment.exit(isRejected ? ExitCode.Refused : ExitCode.Unavailable);
                return;
            }
            const zones = body.Zones?.join(", ");
            const listed = zones ? `evacuated: ${zones}` : "no zone is evacuated";
            environment.print(zone === undefined ? listed : `${zone} is ${stop ? "in service again" : "evacuated"}`);
        });
};
