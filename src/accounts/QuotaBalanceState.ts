/** What a node holds of an account. Times are those of an `ElapsedClock`. */
export type QuotaBalanceState = {
    /** The ledger that granted the tokens; empty if there is none. */
    readonly ledger: string;
    /** Unused tokens. */
    readonly held: number;
    readonly heldUntilMs: number;
    /** Unused tokens of an earlier ledger. They are not reported to the present one. */
    readonly earlier: number;
    readonly earlierUntilMs: number;
    /** Tokens of earlier ledgers that were used since the first answer of `ledger`. */
    readonly earlierUsed: number;
    /** Requests that used a token of `ledger` and may still turn out not to run. */
    readonly pending: readonly PendingRequest[];
    /** Tokens of `ledger` that were used by requests that ran or may have run. */
    readonly used: number;
    /** Requests admitted without a token that no answer covers yet. */
    readonly credit: number;
    /** True once the leader has answered for this account. */
    readonly isKnown: boolean;
    /** Tokens that the last answer allowed, pending ones excluded. */
    readonly allowed: number;
    readonly requestedMs: number;
    readonly exhaustedUntilMs: number;
    readonly spreadMs: number;
    /** Moving average of the requests a second at `demandMs`, the time of the last request. */
    readonly demandPerSecond: number;
    readonly demandMs: number;
    /** The time of the first request. */
    readonly sinceMs: number;
    /** What the request that is under way reported, and what changed since. */
    readonly report: BalanceReport | undefined;
};

type PendingRequest = {
    /** `IngressRequest.arrivedMs`, by which the request is recognized. */
    readonly arrivedMs: number;
    readonly admittedMs: number;
};

type BalanceReport = {
    readonly number: number;
    readonly sentMs: number;
    readonly pending: number;
    readonly credit: number;
    /** Tokens used less tokens returned since. */
    readonly usedSince: number;
};
