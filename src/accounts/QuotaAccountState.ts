import { AccountQuota } from "./AccountQuota";

/** The tokens of an account. Times are those of the leader's monotonic clock. */
export type QuotaAccountState = {
    /** Requests that may run now, before those that nodes hold tokens for are deducted. Negative on overdraft. */
    level: number;
    updatedMs: number;
    /** The quota at `updatedMs`. */
    quota: AccountQuota;
    /** Until then, tokens that were granted under a higher quota may be used. */
    higherUntilMs: number;
    /** Tokens that nodes may hold. */
    outstanding: number;
    /** Tokens of earlier ledgers that may still be used, or were used in the present window without a report. */
    earlier: number;
    /** Tokens that nodes want to hold. */
    wanted: number;
    /** Deducted tokens within the last window, oldest first, and their sum. */
    deductions: { readonly fromMs: number; untilMs: number; count: number; }[];
    deducted: number;
    /** By sender, in the order in which they expire. */
    readonly holdings: Map<string, QuotaHolding>;
    /** Holdings that expired before the sender reported, by sender, in the order in which they expired. */
    readonly expired: Map<string, QuotaHolding>;
};

type QuotaHolding = {
    /** The count of used tokens that the sender reported last. */
    readonly used: number;
    /** The count of used tokens of earlier ledgers that it reported last. */
    readonly earlier: number;
    readonly outstanding: number;
    readonly wanted: number;
    readonly expiresMs: number;
};
