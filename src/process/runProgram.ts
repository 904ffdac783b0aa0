import { FilbertdealError } from "../core/FilbertdealError";

/**
 * Runs a program. On an error it exits with code 1 and prints the message of a FilbertdealError, which names the
 * remedy, or the stack of any other error.
 */
export const runProgram = (main: () => Promise<void>): void => {
    // Operators may request a reload at any time. Without a listener, SIGHUP would terminate a starting process.
    process.on("SIGHUP", () => undefined);
    main().catch((error: unknown) => {
        const message = error instanceof FilbertdealError ? error.message : (error as Error).stack;
        process.stderr.write(`${message}\n`);
        process.exit(1);
    });
};
