import { AccountQuota } from "./AccountQuota";
import { QuotaSettings } from "./QuotaSettings";

/** Share of the permitted excess that is kept for requests on credit, which the ledger can't limit in advance. */
const CREDIT_SHARE = 0.25;

/**
 * The tokens of an account that has used little of its quota cover its rate for this time. At a usual use of 0.6 of the
 * rate they last over 3 s, for which a zone without a leader is to be served.
 */
const COVERED_SECONDS = 3;

/** A first request often comes with a second one, before the leader has answered. */
const MAXIMUM_CREDIT = 2;

/** Longest validity of a token. */
const MAXIMUM_VALIDITY_MS = 5_000;

/** The quantities that the bound on the requests of an account is divided into; see docs/design/quotas.md. */
const of = ({ burst, requestsPerSecond }: AccountQuota, settings: QuotaSettings) => {
    const { quotaOverage, quotaSlack, quotaWindowMs } = settings;
    const base = (requestsPerSecond * quotaWindowMs) / 1_000 + burst;
    const excess = (base * quotaOverage + quotaSlack) * (1 - CREDIT_SHARE);
    return {
        /** Tokens that may be used or outstanding in a window. */
        perWindow: base + excess,
        /** Tokens that nodes may hold while the bucket is empty. */
        overdraft: excess / 2,
        /** Further tokens that nodes may hold while the bucket is full; fewer as it empties. */
        advance: Math.max(0, requestsPerSecond * COVERED_SECONDS - burst),
    } as const;
};

/** Time from sending the request for tokens for which they can be used. A lowered limit binds within a window. */
const validityMs = ({ quotaWindowMs }: QuotaSettings): number => Math.min(MAXIMUM_VALIDITY_MS, quotaWindowMs);

/** Requests of an account that a node may admit before it knows anything about the account. */
const credit = ({ quotaSlack }: QuotaSettings): number =>
    Math.min(MAXIMUM_CREDIT, Math.floor(quotaSlack * CREDIT_SHARE));

/** How much of the bound on the requests of an account each mechanism may use. */
export const quotaLimits = { of, validityMs, credit } as const;
