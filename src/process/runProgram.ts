import { FilbertdealError } from "../core/FilbertdealError";

/** Runs a program; an error ends it with exit code 1 and a message that names the remedy. */
export const runProgram = (main: () => Promise<void>): void => {
    // Operators may ask for a reload at any moment. Unless it is listened for, the signal ends a process that is starting.
    process.on("SIGHUP", () => undefined);
    main().catch((error: unknown) => {
        const message = error instanceof FilbertdealError ? error.message : (error as Error).stack;
        process.stderr.write(`${message}\n`);
        process.exit(1);
    });
};
