import { ClientAccount } from "../configuration/ClientAccount";

/** The quota of an account that has one. */
export type AccountQuota = NonNullable<ClientAccount["quota"]>;
