import { randomBytes } from "node:crypto";
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { durableFiles } from "../core/durableFiles";

/** The identity of a replica in its consensus group. Stored on the same disk as the log. */
type ReplicaIdentity = {
    readonly id: string;
    /** Peer addresses of the first voters; empty for a replica that joined later. */
    readonly founders: readonly string[];
};

const IDENTITY_FILE = "replica-identity.json";
const SUFFIX_BYTES = 6;

/**
 * Reads the identity of the replica on this disk, or creates and stores one. A replica whose disk was lost gets a new
 * id: it lost its votes and log entries, so it must not vote under the old one.
 * @param address the peer address of this replica, IP:PORT
 * @param founders peer addresses of the first voters; empty unless the whole mesh starts for the first time
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
