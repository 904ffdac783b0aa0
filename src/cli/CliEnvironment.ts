import { ExitCode } from "./ExitCode";

/** The output and the exit code of the command line. Tests replace them. */
export type CliEnvironment = {
    readonly print: (text: string) => void;
    readonly printError: (text: string) => void;
    /** Sets the exit code of the process and returns. */
    readonly exit: (code: ExitCode) => void;
};
