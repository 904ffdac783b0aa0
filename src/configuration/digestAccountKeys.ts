import { ClientAccount } from "./ClientAccount";
import { digestKey } from "./digestKey";
import { MeshConfiguration } from "./MeshConfiguration";

/** Accounts that did not change keep their object, so that configuration deltas hash them only once. */
const digested = new WeakMap<ClientAccount, ClientAccount>();

const withDigests = (account: ClientAccount): ClientAccount => {
    const known = digested.get(account) ?? { ...account, keys: account.keys.map(digestKey), extensions: undefined };
    digested.set(account, known);
    return known;
};

/** Returns the configuration as nodes receive it: with digests in place of the accounts' keys, and no extensions there. */
export const digestAccountKeys = (configuration: MeshConfiguration): MeshConfiguration =>
    configuration.accounts
        ? { ...configuration, accounts: configuration.accounts.map(withDigests) }
        : configuration;
