import { randomBytes } from "node:crypto";
import { mkdir, open, readFile, rename } from "node:fs/promises";
import { join } from "node:path";

/** Who a replica is in its group. Kept with the log for as long as the disk lives. */
type ReplicaIdentity = {
    readonly id: string;
    /** Peer addresses of the first voters; empty for a replica that joined later. */
    readonly founders: readonly string[];
};

const IDENTITY_FILE = "replica-identity.json";
const SUFFIX_BYTES = 6;

const readStored = async (path: string): Promise<ReplicaIdentity | undefined> => {
    try {
        return JSON.parse(await readFile(path, "utf8")) as ReplicaIdentity;
    }
    catch (error) {
        if ((error as NodeJS.ErrnoException).code === "ENOENT") {
            return undefined;
        }
        throw error;
    }
};

const syncFolder = async (folder: string): Promise<void> => {
    const directory = await open(folder, "r");
    try {
        await directory.sync();
    }
    finally {
        await directory.close();
    }
};

/** Written aside and renamed, so that a crash leaves the whole file or none. */
const store = async (folder: string, identity: ReplicaIdentity): Promise<void> => {
    const temporary = join(folder, `${IDENTITY_FILE}.tmp`);
    const file = await open(temporary, "w");
    try {
        await file.writeFile(JSON.stringify(identity));
        await file.sync();
    }
    finally {
        await file.close();
    }
    await rename(temporary, join(folder, IDENTITY_FILE));
    await syncFolder(folder);
};

/**
 * Reads the identity of the replica on this disk, or gives it one. A replica whose disk was lost gets a new id, so
 * that it can't vote on what it has forgotten.
 * @param founders the first voters, given only when the whole system starts for the first time
 */
export const readReplicaIdentity = async (
    folder: string,
    address: string,
    founders: readonly string[],
): Promise<ReplicaIdentity> => {
    await mkdir(folder, { recursive: true });
    const stored = await readStored(join(folder, IDENTITY_FILE));
    if (stored) {
        return stored;
    }
    const identity: ReplicaIdentity = founders.includes(address)
        ? { id: address, founders }
        : { id: `${address}#${randomBytes(SUFFIX_BYTES).toString("hex")}`, founders: [] };
    await store(folder, identity);
    return identity;
};
