import { Command } from "commander";
import { randomUUID } from "node:crypto";
import { EntryStatus } from "../control/EntryStatus";
import { pause } from "../core/pause";
import { CliContext } from "./CliContext";
import { describeEntries } from "./describeEntries";
import { ExitCode } from "./ExitCode";
import { exitCodeOf } from "./exitCodeOf";
import { parseDuration } from "./parseDuration";
import { readEntryFile } from "./readEntryFile";

const POLL_INTERVAL_MS = 250;

type ApplyOptions = {
    readonly expectedVersion?: string;
    readonly completeWithin?: string;
    readonly idempotencyKey?: string;
    readonly wait?: boolean;
};

type Accepted = { readonly version: number; };

/** Waits until the move to the version has ended, shows the outcome and ends with an exit code that tells it. */
const waitForEnd = async (context: CliContext, service: string, version: number): Promise<void> => {
    const { exit, print } = context.surroundings;
    for (;;) {
        const { body, status } = await context.call({ method: "GET", path: context.pathOf(service, "/status") });
        const entry = status === 200 ? (body as EntryStatus) : undefined;
        if (entry?.lastOutcome && entry.lastOutcome.version >= version && !entry.move) {
            print(describeEntries([entry]));
            exit(entry.lastOutcome.result === "finished" ? ExitCode.Succeeded : ExitCode.TakenBack);
            return;
        }
        await pause(POLL_INTERVAL_MS);
    }
};

const apply = async (context: CliContext, file: string, options: ApplyOptions): Promise<void> => {
    const { exit, printError } = context.surroundings;
    const entry = await readEntryFile(file);
    const service = String(entry.service);
    const withinMs = options.completeWithin === undefined ? undefined : parseDuration(options.completeWithin);
    if (options.completeWithin !== undefined && withinMs === undefined) {
        printError("error: --complete-within must be a number and one of ms, s, m, h, d, such as 15m");
        exit(ExitCode.Usage);
        return;
    }
    const completeBy = withinMs === undefined ? entry.completeBy : new Date(Date.now() + withinMs).toISOString();
    const presentVersion = options.expectedVersion ?? await context.presentVersion(service);
    if (presentVersion === undefined) {
        return;
    }
    const expectedVersion = Number(presentVersion);
    const idempotencyKey = options.idempotencyKey ?? randomUUID();
    const body = { entry: { ...entry, completeBy }, expectedVersion };
    const answer = await context.call({ method: "POST", path: context.pathOf(service), body, idempotencyKey });
    if (exitCodeOf(answer.status) === ExitCode.Unknown) {
        printError(`resend with --idempotency-key ${idempotencyKey} --expected-version ${expectedVersion}`);
    }
    const accepted = context.show(answer, (shown) => `${service}: version ${(shown as Accepted).version} is accepted`);
    if (accepted && options.wait) {
        await waitForEnd(context, service, (answer.body as Accepted).version);
    }
};

/** Adds the command that accepts an entry. */
export const addApplyCommand = (program: Command, context: CliContext): void => {
    program
        .command("apply <file>")
        .description("accept an entry from a YAML or JSON file")
        .option("--expected-version <number>", "version that the entry replaces; read from control by default")
        .option("--complete-within <duration>", "when it must be in force everywhere, such as 90s, 15m or 2h")
        .option("--idempotency-key <text>", "key to resend a command whose answer was lost")
        .option("--wait", "wait until the move is finished or taken back")
        .action((file: string, options: ApplyOptions) => apply(context, file, options));
};
