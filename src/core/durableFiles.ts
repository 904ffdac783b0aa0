import { open, readFile, rename } from "node:fs/promises";
import { basename, dirname, join } from "node:path";

/** Syncs a folder, so that files created, renamed or removed in it stay so after a crash. */
const syncFolder = async (folder: string): Promise<void> => {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
};

/** Replaces a file atomically: after a crash it has either the old or the new content. Resolves once it is synced. */
const replace = async (path: string, content: Buffer | string): Promise<void> => {
    const folder = dirname(path);
    const temporary = join(folder, `${basename(path)}.tmp`);
    const file = await open(temporary, "w");
    try {
        await file.writeFile(content);
        await file.sync();
    }
    finally {
        await file.close();
    }
    await rename(temporary, path);
    await syncFolder(folder);
};

/** Reads a file. Returns undefined if it does not exist. */
const readIfPresent = async (path: string): Promise<Buffer | undefined> => {
    try {
        return await readFile(path);
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
        }
        throw error;
    }
};

/** Operations on files whose content must survive a crash of the process and a power failure. */
export const durableFiles = { syncFolder, replace, readIfPresent } as const;
