/**
 * What a node reports on an account and requests for it. A tuple, since each message has many. `held` are the unused
 * tokens, `pending` the used tokens of requests that may still turn out not to run, `used` all other tokens used since
 * the first one of this ledger, `credit` the requests that were admitted without a token and not yet reported,
 * `earlier` the tokens of earlier ledgers that were used since the first answer of this one.
 */
export type TokenRequestEntry = readonly [
    account: string,
    used: number,
    held: number,
    pending: number,
    credit: number,
    wanted: number,
    earlier: number,
];
