import { ExitCode } from "./ExitCode";

/** Where the command line writes and how it ends. Tests replace both. */
export type CliSurroundings = {
    readonly print: (text: string) => void;
    readonly printError: (text: string) => void;
    readonly exit: (code: ExitCode) => void;
};
