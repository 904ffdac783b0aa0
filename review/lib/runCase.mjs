import { pause } from "./pause.mjs";

/** A case that takes longer could not run. */
const LIMIT_MS = 110_000;

/**
 * Runs a case, ends all processes that it started, writes its record and exits: with the code that `run` resolves to, or
 * with 2 if it failed.
 */
export const runCase = async (deployment, recordPath, run) => {
    let exitCode = 2;
    try {
        const limit = pause(LIMIT_MS).then(() => {
            throw new Error("the case took too long");
        });
        exitCode = await Promise.race([run(), limit]);
    }
    catch (error) {
        deployment.record("failed", { reason: error.stack });
    }
    await deployment.dispose();
    deployment.record("exit", { code: exitCode });
    deployment.writeRecord(recordPath);
    process.exit(exitCode);
};
