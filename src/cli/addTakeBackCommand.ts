import { Command } from "commander";
import { randomUUID } from "node:crypto";
import { CliContext } from "./CliContext";

type TakeBackOptions = {
    readonly reason: string;
    readonly idempotencyKey?: string;
};

const takeBack = async (context: CliContext, service: string, options: TakeBackOptions): Promise<void> => {
    const version = await context.presentVersion(service);
    if (version === undefined) {
        return;
    }
    const answer = await context.call({
        method: "POST",
        path: context.pathOf(service, "/take-back"),
        body: { version, reason: options.reason },
        idempotencyKey: options.idempotencyKey ?? randomUUID(),
    });
    context.show(answer, (body) => {
        const restored = (body as { readonly version: number; }).version;
        return `${service}: version ${version} is taken back; version ${restored} holds the earlier content`;
    });
};

/** Adds the command that undoes a version. */
export const addTakeBackCommand = (program: Command, context: CliContext): void => {
    program
        .command("take-back <service>")
        .description("end the present move, or undo the last finished one, by a new version with the older content")
        .option("--reason <text>", "what the history shows", "taken back by an operator")
        .option("--idempotency-key <text>", "key to resend a command whose answer was lost")
        .action((service: string, options: TakeBackOptions) => takeBack(context, service, options));
};
