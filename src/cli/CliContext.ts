import { Command } from "commander";
import { AdminClient } from "./AdminClient";
import { CliEnvironment } from "./CliEnvironment";
import { exitCodeOf } from "./exitCodeOf";

const NOT_FOUND = 404;

/** Options that all commands share. */
type SharedOptions = {
    readonly controls: string;
    readonly token: string;
    readonly output: "table" | "json";
};

type AdminResponse = Awaited<ReturnType<AdminClient["call"]>>;
type AdminCall = Parameters<AdminClient["call"]>[0];

/** State and helpers that all commands share: calls to the control replicas and the output of responses. */
export class CliContext {
    public constructor(private readonly program: Command, public readonly environment: CliEnvironment) {}

    private get options(): SharedOptions {
        return this.program.opts<SharedOptions>();
    }

    /** Calls the administration API of the leader. */
    public call(call: AdminCall): Promise<AdminResponse> {
        const { controls, token } = this.options;
        return new AdminClient({ addresses: controls.split(",").filter(Boolean), token }).call(call);
    }

    /**
     * Prints a response, as JSON or as the text that `describe` returns. For a failed call it prints the error and
     * sets the matching exit code. Returns whether the call succeeded.
     */
    public show({ body, status }: AdminResponse, describe: (body: unknown) => string): boolean {
        const asJson = this.options.output === "json";
        const { exit, print, printError } = this.environment;
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
     * Returns the last accepted version of an entry, 0 if there is none. If the call fails, it prints the error, sets
     * the exit code and returns undefined: a guessed version would be reported as a conflict with another operator.
     */
    public async currentVersion(service: string): Promise<number | undefined> {
        const response = await this.call({ method: "GET", path: this.entryPath(service) });
        if (response.status === NOT_FOUND) {
            return 0;
        }
        if (response.status !== 200) {
            this.show(response, () => "");
            return undefined;
        }
        return (response.body as { readonly version: number; }).version;
    }

    /** Returns the path of an entry in the administration API. The suffix selects a view, such as "/status". */
    public entryPath(service: string, suffix = ""): string {
        return `/v1/entries/${encodeURIComponent(service)}${suffix}`;
    }
}
