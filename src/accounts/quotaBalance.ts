import { QuotaBalanceState } from "./QuotaBalanceState";
import { quotaDemand } from "./quotaDemand";
import { TokenAnswer } from "./TokenAnswer";
import { TokenRequestEntry } from "./TokenRequestEntry";

type Admission = { readonly balance: QuotaBalanceState; readonly kind: "token" | "credit" | "refused"; };

/** A balance is renewed after this time, so that tokens that are valid for 5 s last well over 3 s without a leader. */
const RENEWAL_MS = 1_500;

/** A balance that falls to this share of what was last granted is reported. */
const REPORT_BELOW = 0.85;

/** A balance that falls to this share is reported without waiting for others. */
const URGENT_BELOW = 0.5;

/** A balance that is below what the node wants although the leader gave what it could is requested again after this. */
const SHORTAGE_RENEWAL_MS = 500;

/** A request that takes longer counts as run, so that slow requests do not occupy tokens. */
const PENDING_MS = 250;

/** Least Retry-After. Tokens are requested at most this often. */
const MINIMUM_RETRY_AFTER_MS = 100;

/** Callers without a stated time are spread over this one. */
const MINIMUM_SPREAD_MS = 100;

const empty = (nowMs: number): QuotaBalanceState => ({
    ledger: "",
    held: 0,
    heldUntilMs: nowMs,
    earlier: 0,
    earlierUntilMs: nowMs,
    earlierUsed: 0,
    pending: [],
    used: 0,
    credit: 0,
    isKnown: false,
    allowed: 0,
    requestedMs: Number.NEGATIVE_INFINITY,
    exhaustedUntilMs: nowMs,
    spreadMs: 0,
    demandPerSecond: 0,
    demandMs: nowMs,
    sinceMs: nowMs,
    report: undefined,
});

const heldAt = ({ held, heldUntilMs }: QuotaBalanceState, nowMs: number): number => (nowMs < heldUntilMs ? held : 0);

/** Moves old pending requests to the used ones. */
const expirePending = (balance: QuotaBalanceState, nowMs: number): QuotaBalanceState => {
    const pending = balance.pending.filter(({ admittedMs }) => admittedMs > nowMs - PENDING_MS);
    const used = balance.used + balance.pending.length - pending.length;
    return pending.length === balance.pending.length ? balance : { ...balance, pending, used };
};

const changeSince = ({ report }: QuotaBalanceState, change: number): QuotaBalanceState["report"] =>
    report && { ...report, usedSince: report.usedSince + change };

/**
 * Decides on a request that arrives now.
 * @param arrivedMs identifies the request
 * @param credit requests that may be admitted while the leader has not answered for the account
 */
const admit = (
    previous: QuotaBalanceState | undefined,
    arrivedMs: number,
    credit: number,
    nowMs: number,
): Admission => {
    const balance = expirePending(quotaDemand.count(previous ?? empty(nowMs), nowMs), nowMs);
    if (balance.earlier > 0 && nowMs < balance.earlierUntilMs) {
        return {
            kind: "token",
            balance: { ...balance, earlier: balance.earlier - 1, earlierUsed: balance.earlierUsed + 1 },
        };
    }
    if (heldAt(balance, nowMs) > 0) {
        return {
            kind: "token",
            balance: {
                ...balance,
                held: balance.held - 1,
                pending: [...balance.pending, { arrivedMs, admittedMs: nowMs }],
                report: changeSince(balance, 1),
            },
        };
    }
    if (!balance.isKnown && balance.credit < credit) {
        return { kind: "credit", balance: { ...balance, credit: balance.credit + 1 } };
    }
    return { kind: "refused", balance };
};

/** Ends the request that arrived at `arrivedMs`. Its token is returned if it has not run. */
const settle = (balance: QuotaBalanceState, arrivedMs: number, hasRun: boolean): QuotaBalanceState => {
    const index = balance.pending.findIndex((request) => request.arrivedMs === arrivedMs);
    if (index < 0) {
        return balance;
    }
    const pending = balance.pending.filter((_, other) => other !== index);
    return hasRun
        ? { ...balance, pending, used: balance.used + 1 }
        : { ...balance, pending, held: balance.held + 1, report: changeSince(balance, -1) };
};

/** Time after which a refused caller should try again. `fraction` in [0, 1) spreads the callers. */
const retryAfterMs = (balance: QuotaBalanceState, fraction: number, nowMs: number): number => {
    const waitMs = Math.max(MINIMUM_RETRY_AFTER_MS, balance.exhaustedUntilMs - nowMs);
    return waitMs + fraction * Math.max(MINIMUM_SPREAD_MS, balance.spreadMs);
};

/** Requests that may be admitted now. */
const available = (balance: QuotaBalanceState, nowMs: number): number =>
    heldAt(balance, nowMs) + (nowMs < balance.earlierUntilMs ? balance.earlier : 0);

/** True if the leader gave less than the node wanted, or nothing: the account is short of tokens. */
const isShort = (balance: QuotaBalanceState, nowMs: number): boolean =>
    balance.isKnown && (nowMs < balance.exhaustedUntilMs || balance.allowed < quotaDemand.wanted(balance, nowMs) / 2);

/** True if the leader must hear of this account. */
const needsReport = (balance: QuotaBalanceState, nowMs: number): boolean => {
    if (nowMs < balance.exhaustedUntilMs) {
        return false;
    }
    const held = heldAt(balance, nowMs);
    const wanted = quotaDemand.wanted(balance, nowMs);
    if (wanted === 0) {
        return held > 0;
    }
    const waitedMs = nowMs - balance.requestedMs;
    return !balance.isKnown
        || balance.credit > 0
        || held <= Math.min(wanted, balance.allowed) * REPORT_BELOW
        || waitedMs >= (held <= wanted / 2 ? SHORTAGE_RENEWAL_MS : RENEWAL_MS);
};

/** True if the report can't wait until others are due: the node may soon refuse requests of the account. */
const isUrgent = (balance: QuotaBalanceState, nowMs: number): boolean =>
    needsReport(balance, nowMs)
    && (!balance.isKnown || balance.credit > 0 || heldAt(balance, nowMs) <= balance.allowed * URGENT_BELOW);

/** True if the balance may be discarded. */
const isForgotten = (balance: QuotaBalanceState, nowMs: number): boolean =>
    quotaDemand.wanted(balance, nowMs) === 0 && heldAt(balance, nowMs) === 0;

/**
 * Reports on the balance in the request `number` that is sent now.
 * @param ledger the ledger that the request names
 */
const report = (
    previous: QuotaBalanceState,
    account: string,
    number: number,
    ledger: string,
    nowMs: number,
): { readonly balance: QuotaBalanceState; readonly entry: TokenRequestEntry; } => {
    const current = expirePending(previous, nowMs);
    const wanted = quotaDemand.wanted(current, nowMs);
    // Tokens that are not reported are given up: the leader grants them to others.
    const held = wanted === 0 ? 0 : heldAt(current, nowMs);
    const { credit, earlierUsed, pending, used } = current;
    const isOfLedger = current.ledger === ledger;
    return {
        balance: {
            ...current,
            held,
            requestedMs: nowMs,
            report: { number, sentMs: nowMs, pending: pending.length, credit, usedSince: 0 },
        },
        entry: isOfLedger
            ? [account, used, held, pending.length, credit, wanted === 0 ? 0 : wanted + pending.length, earlierUsed]
            : [account, 0, 0, 0, credit, wanted, 0],
    };
};

/** Applies the answer to the report `number`: `tokens` replace those that were reported. */
const grant = (balance: QuotaBalanceState, tokens: number, answer: TokenAnswer, nowMs: number): QuotaBalanceState => {
    const { report: sent } = balance;
    if (!sent || sent.number !== answer.number) {
        return balance;
    }
    const answered: QuotaBalanceState = {
        ...balance,
        ledger: answer.ledger,
        heldUntilMs: sent.sentMs + answer.validMs,
        credit: balance.credit - sent.credit,
        isKnown: true,
        exhaustedUntilMs: nowMs,
        report: undefined,
    };
    if (balance.ledger === answer.ledger) {
        const held = Math.max(0, tokens - sent.pending - sent.usedSince);
        return { ...answered, held, allowed: Math.max(0, tokens - sent.pending) };
    }
    const isEarlierValid = balance.earlier > 0 && nowMs < balance.earlierUntilMs;
    return {
        ...answered,
        held: tokens,
        allowed: tokens,
        used: 0,
        pending: [],
        earlierUsed: 0,
        earlier: heldAt(balance, nowMs) + (isEarlierValid ? balance.earlier : 0),
        earlierUntilMs: isEarlierValid ? Math.min(balance.earlierUntilMs, balance.heldUntilMs) : balance.heldUntilMs,
    };
};

/** Applies the leader's statement that the account is exhausted. */
const exhaust = (balance: QuotaBalanceState, retryMs: number, spreadMs: number, nowMs: number): QuotaBalanceState => ({
    ...balance,
    exhaustedUntilMs: nowMs + retryMs,
    spreadMs,
});

/** Decides on a node which requests of an account with a quota are admitted, and what is asked of the leader. */
export const quotaBalance = {
    admit,
    settle,
    retryAfterMs,
    available,
    isShort,
    needsReport,
    isUrgent,
    isForgotten,
    report,
    grant,
    exhaust,
} as const;
