import { ExitCode } from "./ExitCode";

/** Output and exit of the command line. Tests replace them. */
export type CliEnvironment = {
    readonly print: (text: string) => void;
    readonly printError: (text: string) => void;
    readonly exit: (code: ExitCode) => void;
};
