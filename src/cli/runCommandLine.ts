import { Command, CommanderError, Option } from "commander";
import { FilbertdealError } from "../core/FilbertdealError";
import { addApplyCommand } from "./addApplyCommand";
import { addEvacuateCommand } from "./addEvacuateCommand";
import { addHostCommands } from "./addHostCommands";
import { addReadCommands } from "./addReadCommands";
import { addRefusalsCommand } from "./addRefusalsCommand";
import { addReplicaCommands } from "./addReplicaCommands";
import { addTakeBackCommand } from "./addTakeBackCommand";
import { CliContext } from "./CliContext";
import { CliEnvironment } from "./CliEnvironment";
import { ExitCode } from "./ExitCode";

const HELP_FOOTER = `
Exit codes: 0 done, 1 failed, 2 usage, 3 version conflict, 4 refused, 5 no leader reached, 6 token not allowed,
7 the move was taken back, 8 outcome unknown: resend with the same --idempotency-key.

Example: filbertdeal apply examples/lipa-map.yaml --complete-within 10m --wait`;

const createProgram = (environment: CliEnvironment): Command => {
    const program = new Command("filbertdeal")
        .description("Manages the catalogue: applies entries, shows their status and takes them back.")
        .addOption(
            new Option("--controls <ip:port,...>", "administration addresses of the control replicas")
                .env("FILBERTDEAL_ADMIN_CONTROLS")
                .default("127.0.0.1:7002"),
        )
        .addOption(new Option("--token <text>", "operator token").env("FILBERTDEAL_TOKEN").default(""))
        .addOption(
            new Option("--output <format>", "output format of answers").choices(["table", "json"]).default("table"),
        )
        .addHelpText("after", HELP_FOOTER)
        .exitOverride()
        .configureOutput({
            writeOut: (text) => environment.print(text.trimEnd()),
            writeErr: (text) => environment.printError(text.trimEnd()),
        });
    const context = new CliContext(program, environment);
    addApplyCommand(program, context);
    addReadCommands(program, context);
    addTakeBackCommand(program, context);
    addReplicaCommands(program, context);
    addHostCommands(program, context);
    addEvacuateCommand(program, context);
    addRefusalsCommand(program, context);
    return program;
};

/** Runs the operator's command line. An error is printed with what to do about it, and sets the exit code. */
export const runCommandLine = async (argv: readonly string[], environment: CliEnvironment): Promise<void> => {
    const { exit, printError } = environment;
    try {
        await createProgram(environment).parseAsync([...argv], { from: "user" });
    }
    catch (error) {
        if (error instanceof CommanderError) {
            exit(error.exitCode === 0 ? ExitCode.Succeeded : ExitCode.Usage);
            return;
        }
        const isKnownError = error instanceof FilbertdealError;
        printError(`error: ${(error as Error).message}${isKnownError ? "" : ". Check the address of the node"}`);
        exit(isKnownError ? ExitCode.Refused : ExitCode.Unavailable);
    }
};
