import { open, readFile, rename } from "node:fs/promises";
import { basename, dirname, join } from "node:path";

/** Makes created, renamed and removed names of a folder last. */
const syncFolder = async (folder: string): Promise<void> => {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
};

/** Replaces a file so that a crash leaves the old content or the new one, whole. Resolves once it is synced. */
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

/** Reads a file, or returns undefined if there is none. */
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

/** Files that survive a crash of the process and a loss of power. */
export const durableFiles = { syncFolder, replace, readIfPresent } as const;
