import { QuotaAccountState } from "./QuotaAccountState";

/** What the leader knows of the tokens of all accounts. It belongs to one term and is discarded with it. */
export type QuotaLedgerState = {
    /** Unique name. */
    readonly name: string;
    readonly startedMs: number;
    /** Earlier ledgers whose tokens nodes may still hold. */
    readonly predecessors: number;
    readonly accounts: Map<string, QuotaAccountState>;
    /** The last request of each sender. */
    readonly requests: Map<string, { readonly number: number; readonly receivedMs: number; }>;
};
