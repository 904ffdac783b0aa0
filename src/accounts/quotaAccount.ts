import { AccountQuota } from "./AccountQuota";
import { QuotaAccountState } from "./QuotaAccountState";
import { quotaLimits } from "./quotaLimits";
import { QuotaSettings } from "./QuotaSettings";

/** Deductions of this time are kept as one. */
const DEDUCTION_STEP_MS = 100;

/**
 * A bucket filled to this share counts as full, since the level varies below the burst: nodes report use in lumps. With
 * a larger share, accounts at 0.6 of their quota were often given a quarter less than their nodes wanted.
 */
const FULL_SHARE = 0.5;

/** Holdings that expired are forgotten after this time. */
const FORGET_MS = 60_000;

/** @param predecessors earlier ledgers whose tokens nodes may still hold; see docs/design/quotas.md */
const create = (
    quota: AccountQuota,
    settings: QuotaSettings,
    predecessors: number,
    nowMs: number,
): QuotaAccountState => {
    const { advance: fullAdvance, overdraft } = quotaLimits.of(quota, settings);
    // All but the first predecessor started like this ledger, and granted no advance.
    const ofOthers = (predecessors - 1) * (quota.burst + overdraft);
    return {
        level: predecessors === 0 ? quota.burst : -fullAdvance - ofOthers,
        updatedMs: nowMs,
        quota,
        higherUntilMs: nowMs,
        outstanding: 0,
        earlier: predecessors === 0 ? 0 : quota.burst + overdraft + fullAdvance + ofOthers,
        wanted: 0,
        deductions: [],
        deducted: 0,
        holdings: new Map(),
        expired: new Map(),
    };
};

/** Counts used tokens in the present window. */
const countUsed = (account: QuotaAccountState, count: number, nowMs: number): void => {
    if (count <= 0) {
        return;
    }
    account.deducted += count;
    const last = account.deductions.at(-1);
    if (last && nowMs - last.fromMs < DEDUCTION_STEP_MS) {
        // The time of the last one counts for all, so that none is forgotten too early.
        last.untilMs = nowMs;
        last.count += count;
        return;
    }
    account.deductions.push({ fromMs: nowMs, untilMs: nowMs, count });
};

/** Deducts tokens that were used, or that may have been used and expired. */
const deduct = (account: QuotaAccountState, count: number, nowMs: number): void => {
    account.level -= count;
    countUsed(account, count, nowMs);
};

/** Counts reported use of tokens of an earlier ledger: it leaves the present window sooner than unreported use. */
const countEarlier = (account: QuotaAccountState, count: number, nowMs: number): void => {
    const counted = Math.min(count, account.earlier);
    account.earlier -= counted;
    countUsed(account, counted, nowMs);
};

/** Applies the time that has passed, and the quota in force. */
const advance = (account: QuotaAccountState, quota: AccountQuota, settings: QuotaSettings, nowMs: number): void => {
    const { burst, requestsPerSecond } = quota;
    if (requestsPerSecond < account.quota.requestsPerSecond || burst < account.quota.burst) {
        account.higherUntilMs = nowMs + quotaLimits.validityMs(settings);
    }
    if (account.updatedMs < account.higherUntilMs) {
        // Tokens of the higher quota would otherwise be deducted from the lower one for many windows.
        account.level = Math.max(account.level, -quotaLimits.of(quota, settings).overdraft);
    }
    const accrued = ((nowMs - account.updatedMs) / 1_000) * requestsPerSecond;
    account.level = Math.min(burst, account.level + accrued);
    account.updatedMs = nowMs;
    account.quota = quota;
    for (const [sender, holding] of account.holdings) {
        if (holding.expiresMs > nowMs) {
            break;
        }
        deduct(account, holding.outstanding, nowMs);
        account.outstanding -= holding.outstanding;
        account.wanted -= holding.wanted;
        account.holdings.delete(sender);
        account.expired.set(sender, holding);
    }
    for (const [sender, { expiresMs }] of account.expired) {
        if (expiresMs + FORGET_MS > nowMs) {
            break;
        }
        account.expired.delete(sender);
    }
    while (account.deductions.length > 0 && account.deductions[0].untilMs <= nowMs - settings.quotaWindowMs) {
        account.deducted -= account.deductions.shift()?.count ?? 0;
    }
};

/**
 * Tokens that nodes may hold in all.
 * @param sinceStartMs time since the ledger started; infinite if there was no earlier one
 */
const capacity = (
    { deducted, earlier, level, quota }: QuotaAccountState,
    settings: QuotaSettings,
    sinceStartMs: number,
): number => {
    const { advance: fullAdvance, overdraft, perWindow } = quotaLimits.of(quota, settings);
    const filled = quota.burst > 0 ? Math.min(1, Math.max(0, level / (quota.burst * FULL_SHARE))) : 0;
    const earlierUse = sinceStartMs >= settings.quotaWindowMs + quotaLimits.validityMs(settings) ? 0 : earlier;
    // In a window that began before the start, the earlier ledger may have handed out its full advance.
    const ownAdvance = sinceStartMs >= settings.quotaWindowMs ? filled * fullAdvance : 0;
    return Math.max(0, Math.min(level + overdraft + ownAdvance, perWindow - earlierUse - deducted));
};

/** The tokens of one account at the leader. Changes the state in place, as `quotaLedger` does. */
export const quotaAccount = { create, deduct, countEarlier, advance, capacity } as const;
