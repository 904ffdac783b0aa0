/** Control to node: the answer to a `request-tokens`. */
export type TokenAnswer = {
    readonly kind: "tokens";
    readonly number: number;
    /** The ledger that granted the tokens: one for each time that a replica leads. */
    readonly ledger: string;
    /** The tokens that the node may now have, pending ones included, instead of those that it reported. */
    readonly grants: readonly (readonly [account: string, tokens: number])[];
    /** When an account will have tokens again, and over which further time callers should be spread. */
    readonly exhausted: readonly (readonly [account: string, retryAfterMs: number, spreadMs: number])[];
    /** Time from sending the request for which the tokens can be used. */
    readonly validMs: number;
    /** Requests of an account that a node may admit before it has reported its first demand for it. */
    readonly credit: number;
};
