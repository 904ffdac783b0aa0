import { Command } from "commander";
import { RolloutOutcome } from "../catalogue/RolloutOutcome";
import { EntryStatus } from "../control/EntryStatus";
import { pause } from "../core/pause";
import { CliContext } from "./CliContext";
import { describeEntries } from "./describeEntries";
import { formatTable } from "./formatTable";

const WATCH_INTERVAL_MS = 500;

type StatusList = { readonly entries: readonly EntryStatus[]; };

const describeHistory = (outcomes: readonly RolloutOutcome[]): string =>
    formatTable(
        ["VERSION", "FROM", "RESULT", "ON TIME", "ENDED", "REASON"],
        outcomes.map((outcome) => [
            String(outcome.version),
            String(outcome.fromVersion),
            outcome.result,
            outcome.onTime ? "yes" : "no",
            new Date(outcome.endedAtMs).toISOString(),
            outcome.reason,
        ]),
    );

const showStatus = async (context: CliContext, service: string | undefined, watch: boolean): Promise<void> => {
    const path = service ? context.entryPath(service, "/status") : "/v1/status";
    const describe = (body: unknown): string =>
        describeEntries(service ? [body as EntryStatus] : (body as StatusList).entries);
    while (context.show(await context.call({ method: "GET", path }), describe) && watch) {
        await pause(WATCH_INTERVAL_MS);
    }
};

/** Adds the commands that read the catalogue. */
export const addReadCommands = (program: Command, context: CliContext): void => {
    program
        .command("get <service>")
        .description("show the last accepted entry")
        .action(async (service: string) => {
            const response = await context.call({ method: "GET", path: context.entryPath(service) });
            context.show(response, (body) => JSON.stringify(body, undefined, 2));
        });
    program
        .command("status [service]")
        .description("show the status of entries")
        .option("--watch", "repeat every half second")
        .action((service: string | undefined, { watch }: { readonly watch?: boolean; }) =>
            showStatus(context, service, watch ?? false)
        );
    program
        .command("history <service>")
        .description("show the outcomes of a service's moves")
        .action(async (service: string) => {
            const response = await context.call({ method: "GET", path: context.entryPath(service, "/history") });
            context.show(response, (body) => describeHistory(body as readonly RolloutOutcome[]));
        });
};
