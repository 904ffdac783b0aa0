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

/** Waits until the rollout of the version has ended, prints the outcome and sets the matching exit code. */
const waitForOutcome = async (context: CliContext, service: string, version: number): Promise<void> => {
    const { exit, print } = context.environment;
    for (;;) {
        const { body, status } = await context.call({ method: "GET", path: context.entryPath(service, "/status") });
        const entry = status === 200 ? (body as EntryStatus) : undefined;
        if (entry?.lastOutcome && entry.lastOutcome.version >= version && !entry.move) {
            print(describeEntries([entry]));
            exit(entry.lastOutcome.result === "finished" ? ExitCode.Succeeded : ExitCode.RolledBack);
            return;
        }
        await pause(POLL_INTERVAL_MS);
    }
};

const apply = async (context: CliContext, file: string, options: ApplyOptions): Promise<void> => {
    const { exit, printError } = context.environment;
    const entry = await readEntryFile(file);
    const service = String(entry.service);
    const withinMs = options.completeWithin === undefined ? undefined : parseDuration(options.completeWithin);
    if (options.completeWithin !== undefined && withinMs === undefined) {
        printError("error: --complete-within must be a number and one of ms, s, m, h, d, such as 15m");
        exit(ExitCode.Usage);
        return;
    }
    const completeBy = withinMs === undefined ? entry.completeBy : new Date(Date.now() + withinMs).toISOString();
    const currentVersion = options.expectedVersion ?? await context.currentVersion(service);
    if (currentVersion === undefined) {
        return;
    }
    const expectedVersion = Number(currentVersion);
    const idempotencyKey = options.idempotencyKey ?? randomUUID();
    const body = { entry: { ...entry, completeBy }, expectedVersion };
    const response = await context.call({ method: "POST", path: context.entryPath(service), body, idempotencyKey });
    if (exitCodeOf(response.status) === ExitCode.Unknown) {
        printError(`resend with --idempotency-key ${idempotencyKey} --expected-version ${expectedVersion}`);
    }
    const accepted = context.show(
        response,
        (responseBody) => `${service}: version ${(responseBody as Accepted).version} is accepted`,
    );
    if (accepted && options.wait) {
        await waitForOutcome(context, service, (response.body as Accepted).version);
    }
};

/** Adds the command that submits an entry. */
export const addApplyCommand = (program: Command, context: CliContext): void => {
    program
        .command("apply <file>")
        .description("submit an entry from a YAML or JSON file")
        .option("--expected-version <number>", "version that the entry replaces; default: the current one")
        .option("--complete-within <duration>", "time until it must be in force everywhere, such as 90s, 15m or 2h")
        .option("--idempotency-key <text>", "key of an earlier command whose answer was lost, to resend it")
        .option("--wait", "wait until the move is finished or taken back")
        .action((file: string, options: ApplyOptions) => apply(context, file, options));
};
