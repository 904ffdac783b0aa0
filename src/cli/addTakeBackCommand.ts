import { Command } from "commander";
import { randomUUID } from "node:crypto";
import { CliContext } from "./CliContext";

type TakeBackOptions = {
    readonly reason: string;
    readonly idempotencyKey?: string;
};

const rollBack = async (context: CliContext, service: string, options: TakeBackOptions): Promise<void> => {
    const version = await context.currentVersion(service);
    if (version === undefined) {
        return;
    }
    const response = await context.call({
        method: "POST",
        path: context.entryPath(service, "/take-back"),
        body: { version, reason: options.reason },
        idempotencyKey: options.idempotencyKey ?? randomUUID(),
    });
    context.show(response, (body) => {
        const restored = (body as { readonly version: number; }).version;
        return `${service}: version ${version} is taken back; version ${restored} holds the earlier content`;
    });
};

/** Adds the command that rolls back a version. */
export const addTakeBackCommand = (program: Command, context: CliContext): void => {
    program
        .command("take-back <service>")
        .description(
            "take back the current move, or the last finished one, by a new version with the earlier content",
        )
        .option("--reason <text>", "reason shown in the history", "taken back by an operator")
        .option("--idempotency-key <text>", "key of an earlier command whose answer was lost, to resend it")
        .action((service: string, options: TakeBackOptions) => rollBack(context, service, options));
};
