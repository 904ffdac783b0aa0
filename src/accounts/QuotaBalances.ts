import { quotaBalance } from "./quotaBalance";
import { QuotaBalanceState } from "./QuotaBalanceState";
import { QuotaOutcome } from "./QuotaOutcome";
import { TokenAnswer } from "./TokenAnswer";
import { TokenRequest } from "./TokenRequest";

type Decision = {
    readonly outcome: QuotaOutcome;
    /** For a refused request. */
    readonly retryAfterMs: number;
    /** True if the leader should hear of this at once. */
    readonly isUrgent: boolean;
};

type OutgoingRequest = {
    readonly request: TokenRequest;
    /** The control replica that it is for; undefined for all of them. */
    readonly address: string | undefined;
};

const REQUEST_INTERVAL_MS = 100;

/** Reports that can wait are sent together. Each request costs the leader far more than an entry of one. */
const BATCH_INTERVAL_MS = 250;

/** A request without an answer is repeated after this time, to all replicas: another one may lead. */
const ANSWER_TIMEOUT_MS = 300;

/** Without an answer for this time, nothing more is admitted on credit. */
const SILENCE_MS = 1_000;

/** The tokens that a node holds for all accounts, and its requests for more. Times are those of an `ElapsedClock`. */
export class QuotaBalances {
    private readonly balances = new Map<string, QuotaBalanceState>();
    private accountsWithQuota: ReadonlySet<string> = new Set();
    private ledger = "";
    /** Undefined until the leader has answered. */
    private credit: number | undefined;
    /** The replica that answered last. */
    private leaderAddress: string | undefined;
    private number = 0;
    private sentMs = Number.NEGATIVE_INFINITY;
    /** When the first request since the last answer was sent. */
    private unansweredSinceMs: number | undefined;

    /** @param sender a name that no other process of the mesh ever had */
    public constructor(private readonly sender: string) {}

    /** Replaces the names of the accounts that have a quota. */
    public updateAccounts(accountsWithQuota: ReadonlySet<string>): void {
        this.accountsWithQuota = accountsWithQuota;
        for (const account of this.balances.keys()) {
            if (!accountsWithQuota.has(account)) {
                this.balances.delete(account);
            }
        }
    }

    /** Requests that may be admitted now, of all accounts. */
    public available(nowMs: number): number {
        return [...this.balances.values()].reduce((sum, balance) => sum + quotaBalance.available(balance, nowMs), 0);
    }

    /**
     * Decides on a request; undefined if its account has no quota.
     * @param arrivedMs identifies the request
     * @param fraction in [0, 1) spreads refused callers
     */
    public decide(account: string, arrivedMs: number, fraction: number, nowMs: number): Decision | undefined {
        if (!this.accountsWithQuota.has(account)) {
            return undefined;
        }
        const isSilent = this.isSilentAt(nowMs);
        const { balance, kind } = quotaBalance.admit(
            this.balances.get(account),
            arrivedMs,
            isSilent ? 0 : this.credit ?? 0,
            nowMs,
        );
        this.balances.set(account, balance);
        const refusal = !isSilent && quotaBalance.isShort(balance, nowMs) ? "over-quota" : "no-tokens";
        return {
            outcome: kind === "refused" ? refusal : kind,
            retryAfterMs: quotaBalance.retryAfterMs(balance, fraction, nowMs),
            isUrgent: quotaBalance.isUrgent(balance, nowMs),
        };
    }

    /** Ends a request that was admitted. Its token is returned if it has not run. */
    public settle(account: string, arrivedMs: number, hasRun: boolean): void {
        const balance = this.balances.get(account);
        if (balance) {
            this.balances.set(account, quotaBalance.settle(balance, arrivedMs, hasRun));
        }
    }

    /** Returns a request if an account needs one, unless one was sent shortly before or is not answered yet. */
    public nextRequest(nowMs: number): OutgoingRequest | undefined {
        const isWaiting = this.unansweredSinceMs !== undefined;
        if (nowMs - this.sentMs < (isWaiting ? ANSWER_TIMEOUT_MS : REQUEST_INTERVAL_MS)) {
            return undefined;
        }
        this.forget(nowMs);
        const isEarly = nowMs - this.sentMs < BATCH_INTERVAL_MS;
        if (isEarly && ![...this.balances.values()].some((balance) => quotaBalance.isUrgent(balance, nowMs))) {
            return undefined;
        }
        const due = [...this.balances].filter(([, balance]) => quotaBalance.needsReport(balance, nowMs));
        // Without any answer, the leader and the credit are not known yet.
        if (due.length === 0 && (this.credit !== undefined || this.accountsWithQuota.size === 0)) {
            return undefined;
        }
        this.number += 1;
        const accounts = due.map(([account, balance]) => {
            const { balance: next, entry } = quotaBalance.report(balance, account, this.number, this.ledger, nowMs);
            this.balances.set(account, next);
            return entry;
        });
        this.sentMs = nowMs;
        this.unansweredSinceMs ??= nowMs;
        const { ledger, number, sender } = this;
        return {
            request: { kind: "request-tokens", number, sender, ledger, accounts },
            address: isWaiting ? undefined : this.leaderAddress,
        };
    }

    /** Applies an answer. Returns false if it is late or repeated. */
    public receive(answer: TokenAnswer, address: string, nowMs: number): boolean {
        if (answer.number !== this.number || this.unansweredSinceMs === undefined) {
            return false;
        }
        for (const [account, tokens] of answer.grants) {
            const balance = this.balances.get(account);
            if (balance) {
                this.balances.set(account, quotaBalance.grant(balance, tokens, answer, nowMs));
            }
        }
        for (const [account, retryMs, spreadMs] of answer.exhausted) {
            const balance = this.balances.get(account);
            if (balance) {
                this.balances.set(account, quotaBalance.exhaust(balance, retryMs, spreadMs, nowMs));
            }
        }
        this.ledger = answer.ledger;
        this.credit = answer.credit;
        this.leaderAddress = address;
        this.unansweredSinceMs = undefined;
        return true;
    }

    /** True if the leader has not answered for so long that it may be out of reach. */
    private isSilentAt(nowMs: number): boolean {
        return this.unansweredSinceMs !== undefined && nowMs - this.unansweredSinceMs >= SILENCE_MS;
    }

    private forget(nowMs: number): void {
        for (const [account, balance] of this.balances) {
            if (quotaBalance.isForgotten(balance, nowMs)) {
                this.balances.delete(account);
            }
        }
    }
}
