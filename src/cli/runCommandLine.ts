import { Command, CommanderError, Option } from "commander";
import { FilbertdealError } from "../core/FilbertdealError";
import { addApplyCommand } from "./addApplyCommand";
import { addHostCommands } from "./addHostCommands";
import { addReadCommands } from "./addReadCommands";
import { addReplicaCommands } from "./addReplicaCommands";
import { addTakeBackCommand } from "./addTakeBackCommand";
import { CliContext } from "./CliContext";
import { CliSurroundings } from "./CliSurroundings";
import { ExitCode } from "./ExitCode";

const HELP = `
Exit codes: 0 done, 1 failed, 2 usage, 3 version conflict, 4 refused, 5 no leader reached, 6 token not allowed,
7 the move was taken back, 8 outcome unknown: resend with the same --idempotency-key.

Example: filbertdeal apply examples/lipa-map.yaml --complete-within 10m --wait`;

const createProgram = (surroundings: CliSurroundings): Command => {
    const program = new Command("filbertdeal")
        .description("Drives the catalogue: apply entries, see where they stand, take them back.")
        .addOption(
            new Option("--controls <ip:port,...>", "administration addresses of the control replicas")
                .env("FILBERTDEAL_ADMIN_CONTROLS")
                .default("127.0.0.1:7002"),
        )
        .addOption(new Option("--token <text>", "operator token").env("FILBERTDEAL_TOKEN").default(""))
        .addOption(new Option("--output <format>", "how answers are shown").choices(["table", "json"]).default("table"))
        .addHelpText("after", HELP)
        .exitOverride()
        .configureOutput({
            writeOut: (text) => surroundings.print(text.trimEnd()),
            writeErr: (text) => surroundings.printError(text.trimEnd()),
        });
    const context = new CliContext(program, surroundings);
    addApplyCommand(program, context);
    addReadCommands(program, context);
    addTakeBackCommand(program, context);
    addReplicaCommands(program, context);
    addHostCommands(program, context);
    return program;
};

/** Runs the operator's command line. Every error ends it with a message that names the remedy and an exit code. */
export const runCommandLine = async (argv: readonly string[], surroundings: CliSurroundings): Promise<void> => {
    const { exit, printError } = surroundings;
    try {
        await createProgram(surroundings).parseAsync([...argv], { from: "user" });
    }
    catch (error) {
        if (error instanceof CommanderError) {
            exit(error.exitCode === 0 ? ExitCode.Succeeded : ExitCode.Usage);
            return;
        }
        const known = error instanceof FilbertdealError;
        printError(`error: ${(error as Error).message}${known ? "" : ". Check the address of the node"}`);
        exit(known ? ExitCode.Refused : ExitCode.Unavailable);
    }
};
