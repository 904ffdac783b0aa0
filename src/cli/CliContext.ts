import { Command } from "commander";
import { AdminClient } from "./AdminClient";
import { CliSurroundings } from "./CliSurroundings";
import { exitCodeOf } from "./exitCodeOf";

const NOT_FOUND = 404;

/** Options that all commands share. */
type SharedOptions = {
    readonly controls: string;
    readonly token: string;
    readonly output: "table" | "json";
};

type Answer = Awaited<ReturnType<AdminClient["call"]>>;
type Call = Parameters<AdminClient["call"]>[0];

/** What the commands share: the connection to control and how answers are shown. */
export class CliContext {
    public constructor(private readonly program: Command, public readonly surroundings: CliSurroundings) {}

    private get options(): SharedOptions {
        return this.program.opts<SharedOptions>();
    }

    /** Asks control; the leader answers. */
    public call(call: Call): Promise<Answer> {
        const { controls, token } = this.options;
        return new AdminClient({ addresses: controls.split(",").filter(Boolean), token }).call(call);
    }

    /** Shows an answer, as JSON or as described. A failed call ends the program. Returns whether it succeeded. */
    public show({ body, status }: Answer, describe: (body: unknown) => string): boolean {
        const asJson = this.options.output === "json";
        const { exit, print, printError } = this.surroundings;
        if (status !== 200) {
            const { message } = body as { readonly message?: string; };
            printError(asJson ? JSON.stringify(body) : `error: ${message}`);
            exit(exitCodeOf(status));
            return false;
        }
        print(asJson ? JSON.stringify(body, undefined, 2) : describe(body));
        return true;
    }

    /**
     * The version of an entry that was accepted last, 0 if there is none. If that can't be learned, the program ends
     * with the reason and the result is undefined: a guess would read as a conflict between operators.
     */
    public async presentVersion(service: string): Promise<number | undefined> {
        const answer = await this.call({ method: "GET", path: this.pathOf(service) });
        if (answer.status === NOT_FOUND) {
            return 0;
        }
        if (answer.status !== 200) {
            this.show(answer, () => "");
            return undefined;
        }
        return (answer.body as { readonly version: number; }).version;
    }

    public pathOf(service: string, view = ""): string {
        return `/v1/entries/${encodeURIComponent(service)}${view}`;
    }
}
