import { timingSafeEqual } from "node:crypto";
import { ClientAccount } from "../configuration/ClientAccount";
import { digestKey } from "../configuration/digestKey";

type KeyEntry = {
    readonly digest: Buffer;
    readonly account: ClientAccount;
};

/** Length of the part of a digest by which entries are grouped, in hexadecimal digits. */
const GROUP_DIGITS = 8;

const groupOf = (digest: string): string => digest.slice(0, GROUP_DIGITS);

/** Finds the account that a key belongs to. Built once for each configuration. */
export class AccountIndex {
    private readonly groups = new Map<string, KeyEntry[]>();

    /** @param accounts accounts with digests in place of their keys */
    public constructor(accounts: readonly ClientAccount[]) {
        for (const account of accounts) {
            for (const digest of account.keys) {
                const group = this.groups.get(groupOf(digest)) ?? [];
                this.groups.set(groupOf(digest), group);
                group.push({ digest: Buffer.from(digest, "hex"), account });
            }
        }
    }

    /**
     * The time that a search takes depends on the first digits of the key's digest only. They reveal nothing about the
     * other keys, since nobody can choose a digest.
     */
    public find(key: string): ClientAccount | undefined {
        const text = digestKey(key);
        const digest = Buffer.from(text, "hex");
        const group = this.groups.get(groupOf(text)) ?? [];
        return group.filter((entry) => timingSafeEqual(entry.digest, digest))[0]?.account;
    }
}
