import { AccountQuota } from "./AccountQuota";
import { quotaAccount } from "./quotaAccount";
import { QuotaAccountState } from "./QuotaAccountState";
import { QuotaLedgerState } from "./QuotaLedgerState";
import { quotaLimits } from "./quotaLimits";
import { QuotaSettings } from "./QuotaSettings";
import { TokenAnswer } from "./TokenAnswer";
import { TokenRequest } from "./TokenRequest";
import { TokenRequestEntry } from "./TokenRequestEntry";

type Account = QuotaAccountState;
type Holding = Account["holdings"] extends Map<string, infer Entry> ? Entry : never;

type Grants = Pick<TokenAnswer, "grants" | "exhausted">;

/** A node asks again at least this often while an account is exhausted: requests on other nodes may have ended. */
const MAXIMUM_RETRY_AFTER_MS = 1_000;

/** Nodes do not ask more often. */
const MINIMUM_RETRY_AFTER_MS = 100;

/** Callers are spread over at most this time, within which the demand of an account changes anyway. */
const MAXIMUM_SPREAD_MS = 2_000;

/** The demand that `wanted` covers; see `quotaDemand`. */
const WANTED_SECONDS = 3;

/** Senders and removed accounts are forgotten after this time. It exceeds the validity of a token. */
const FORGET_MS = 60_000;

/**
 * Starts a ledger. It belongs to one term of one leader and must not be used in another one.
 * @param predecessors earlier ledgers whose tokens nodes may still hold; 0 if there never was a configuration
 */
const create = (name: string, predecessors: number, nowMs: number): QuotaLedgerState => ({
    name,
    predecessors,
    startedMs: nowMs,
    accounts: new Map(),
    requests: new Map(),
});

/** Takes over what a node reports. Returns the tokens that it really has. */
const takeReport = (
    ledger: QuotaLedgerState,
    account: Account,
    request: TokenRequest,
    [, used, held, pending, credit, wanted, earlier]: TokenRequestEntry,
    nowMs: number,
): Holding => {
    const current = account.holdings.get(request.sender);
    const expired = account.expired.get(request.sender);
    account.expired.delete(request.sender);
    const previous = current ?? expired;
    // Tokens and counts of an earlier ledger say nothing about those of this one.
    const isNamed = request.ledger === ledger.name;
    const isOurs = isNamed && previous !== undefined;
    // A node that had forgotten the account counts from 0 again.
    const newlyUsed = isOurs ? used - (used >= previous.used ? previous.used : 0) : 0;
    // Expired tokens were deducted already. This report covers all use of them, so a later one is deducted in full.
    const alreadyDeducted = Math.min(newlyUsed, expired?.outstanding ?? 0);
    const outstanding = isOurs ? Math.min(held + pending, current?.outstanding ?? 0) : 0;
    quotaAccount.deduct(account, newlyUsed - alreadyDeducted + credit, nowMs);
    if (isOurs) {
        quotaAccount.countEarlier(account, Math.max(0, earlier - previous.earlier), nowMs);
    }
    account.outstanding += outstanding - (current?.outstanding ?? 0);
    account.wanted += wanted - (current?.wanted ?? 0);
    return { used: isNamed ? used : 0, earlier: isNamed ? earlier : 0, outstanding, wanted, expiresMs: 0 };
};

/** Tokens of an account that nodes may hold in all. */
const capacityAt = (ledger: QuotaLedgerState, account: Account, settings: QuotaSettings, nowMs: number): number => {
    const sinceStartMs = ledger.predecessors === 0 ? Number.POSITIVE_INFINITY : nowMs - ledger.startedMs;
    return quotaAccount.capacity(account, settings, sinceStartMs);
};

/** The account, up to date. One without an entry has accrued since the start of the ledger. */
const accountAt = (
    ledger: QuotaLedgerState,
    name: string,
    quota: AccountQuota,
    settings: QuotaSettings,
    nowMs: number,
): Account => {
    const account = ledger.accounts.get(name)
        ?? quotaAccount.create(quota, settings, ledger.predecessors, ledger.startedMs);
    ledger.accounts.set(name, account);
    quotaAccount.advance(account, quota, settings, nowMs);
    return account;
};

const retryTimes = (account: Account, quota: AccountQuota, room: number): readonly [number, number] => {
    const demandPerSecond = account.wanted / WANTED_SECONDS;
    const waitMs = ((1 - room) / quota.requestsPerSecond) * 1_000;
    const spreadMs = Math.max(0, demandPerSecond / quota.requestsPerSecond - 1) * 1_000;
    return [
        Math.round(Math.min(MAXIMUM_RETRY_AFTER_MS, Math.max(MINIMUM_RETRY_AFTER_MS, waitMs))),
        Math.round(Math.min(MAXIMUM_SPREAD_MS, spreadMs)),
    ];
};

/** Answers an entry: tokens in proportion to what the node wants among all nodes. */
const grant = (
    ledger: QuotaLedgerState,
    request: TokenRequest,
    entry: TokenRequestEntry,
    quota: AccountQuota,
    settings: QuotaSettings,
    nowMs: number,
): Grants => {
    const [name, , , pending] = entry;
    const account = accountAt(ledger, name, quota, settings, nowMs);
    const reported = takeReport(ledger, account, request, entry, nowMs);
    const capacity = capacityAt(ledger, account, settings, nowMs);
    const share = account.wanted > 0 ? (reported.wanted / account.wanted) * capacity : 0;
    const target = Math.min(reported.wanted, Math.max(1, Math.floor(share)));
    const room = capacity - account.outstanding;
    // At most half of what is left, so that the first node to ask leaves something to the others.
    const added = Math.max(0, Math.min(target - reported.outstanding, Math.floor(room), Math.ceil(room / 2)));
    // A node that has more than its share returns the rest with its next request, and may use it until then.
    const tokens = added > 0
        ? reported.outstanding + added
        : Math.min(reported.outstanding, Math.max(target, pending));
    account.outstanding += added;
    // Sets the holding last in the order of expiry.
    account.holdings.delete(request.sender);
    account.holdings.set(request.sender, {
        ...reported,
        outstanding: reported.outstanding + added,
        expiresMs: nowMs + quotaLimits.validityMs(settings),
    });
    const hasNone = reported.wanted > 0 && tokens <= pending;
    return {
        grants: [[name, tokens]],
        exhausted: hasNone ? [[name, ...retryTimes(account, quota, room)]] : [],
    };
};

/**
 * Answers a request for tokens, or returns undefined if a later one was answered. Changes the ledger in place: copies
 * of its maps would cost more than everything else in it.
 * @param quotas of all accounts that have one
 */
const answer = (
    ledger: QuotaLedgerState,
    request: TokenRequest,
    quotas: ReadonlyMap<string, AccountQuota>,
    settings: QuotaSettings,
    nowMs: number,
): TokenAnswer | undefined => {
    if ((ledger.requests.get(request.sender)?.number ?? 0) >= request.number) {
        return undefined;
    }
    ledger.requests.set(request.sender, { number: request.number, receivedMs: nowMs });
    const answers = request.accounts.flatMap((entry) => {
        const quota = quotas.get(entry[0]);
        return quota ? [grant(ledger, request, entry, quota, settings, nowMs)] : [];
    });
    return {
        kind: "tokens",
        number: request.number,
        ledger: ledger.name,
        grants: answers.flatMap(({ grants }) => grants),
        exhausted: answers.flatMap(({ exhausted }) => exhausted),
        validMs: quotaLimits.validityMs(settings),
        credit: quotaLimits.credit(settings),
    };
};

/** Forgets senders that are gone, and accounts without a quota once no token of them can be used. */
const forget = (ledger: QuotaLedgerState, quotas: ReadonlyMap<string, AccountQuota>, nowMs: number): void => {
    for (const [sender, { receivedMs }] of ledger.requests) {
        if (receivedMs + FORGET_MS < nowMs) {
            ledger.requests.delete(sender);
        }
    }
    for (const [name, account] of ledger.accounts) {
        if (!quotas.has(name) && account.updatedMs + FORGET_MS < nowMs) {
            ledger.accounts.delete(name);
        }
    }
};

/** Accounts that nodes request tokens of and none are left of. */
const countExhausted = (
    ledger: QuotaLedgerState,
    quotas: ReadonlyMap<string, AccountQuota>,
    settings: QuotaSettings,
    nowMs: number,
): number =>
    [...quotas].filter(([name, quota]) => {
        const account = accountAt(ledger, name, quota, settings, nowMs);
        return account.wanted > 0 && capacityAt(ledger, account, settings, nowMs) - account.outstanding < 1;
    }).length;

/** Decides on the leader how many requests of an account each node may admit. */
export const quotaLedger = { create, answer, forget, countExhausted } as const;
