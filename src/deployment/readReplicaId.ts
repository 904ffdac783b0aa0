import { randomBytes } from "node:crypto";
import { mkdir, open, readFile } from "node:fs/promises";
import { join } from "node:path";

const IDENTITY_FILE = "replica-id";
const SUFFIX_BYTES = 6;

/**
 * The id under which this disk takes part in the group. It is stored with the log, so a replica whose disk was
 * lost gets a new id and can't vote on what it has forgotten.
 * @param founderId the id of a first voter, given only when the whole system starts for the first time
 */
export const readReplicaId = async (
    folder: string,
    address: string,
    founderId: string | undefined,
): Promise<string> => {
    await mkdir(folder, { recursive: true });
    const path = join(folder, IDENTITY_FILE);
    const stored = await readFile(path, "utf8").catch((error: NodeJS.ErrnoException) => {
        if (error.code === "ENOENT") {
            return "";
        }
        throw error;
    });
    if (stored.endsWith("\n")) {
        return stored.trim();
    }
    const id = founderId ?? `${address}#${randomBytes(SUFFIX_BYTES).toString("hex")}`;
    const file = await open(path, "w");
    try {
        await file.writeFile(`${id}\n`);
        await file.sync();
    }
    finally {
        await file.close();
    }
    const directory = await open(folder, "r");
    try {
        await directory.sync();
    }
    finally {
        await directory.close();
    }
    return id;
};
