import { randomBytes } from "node:crypto";
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { durableFiles } from "../core/durableFiles";

/** Who a replica is in its group. Kept with the log for as long as the disk lives. */
type ReplicaIdentity = {
    readonly id: string;
    /** Peer addresses of the first voters; empty for a replica that joined later. */
    readonly founders: readonly string[];
};

const IDENTITY_FILE = "replica-identity.json";
const SUFFIX_BYTES = 6;

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
    const path = join(folder, IDENTITY_FILE);
    const stored = await durableFiles.readIfPresent(path);
    if (stored) {
        return JSON.parse(stored.toString()) as ReplicaIdentity;
    }
    const identity: ReplicaIdentity = founders.includes(address)
        ? { id: address, founders }
        : { id: `${address}#${randomBytes(SUFFIX_BYTES).toString("hex")}`, founders: [] };
    await durableFiles.replace(path, JSON.stringify(identity));
    return identity;
};
