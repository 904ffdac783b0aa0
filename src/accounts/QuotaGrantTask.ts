import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { Role } from "../consensus/Role";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { memoizeLatest } from "../core/memoizeLatest";
import { LeadershipConfirmation } from "../deployment/LeadershipConfirmation";
import { AccountQuota } from "./AccountQuota";
import { quotaLedger } from "./quotaLedger";
import { QuotaLedgerState } from "./QuotaLedgerState";
import { quotaLimits } from "./quotaLimits";
import { QuotaSettings } from "./QuotaSettings";
import { termHistory } from "./termHistory";
import { TokenAnswer } from "./TokenAnswer";
import { TokenRequest } from "./TokenRequest";

/** Dependencies of a `QuotaGrantTask`. */
type GrantTaskOptions = {
    /** The id of this replica. */
    readonly id: string;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly settings: QuotaSettings;
    readonly status: () => Pick<ConsensusStatus, "role" | "term">;
    readonly configuration: () => MeshConfiguration | undefined;
    readonly confirmation: Pick<LeadershipConfirmation, "confirm">;
};

type WaitingRequest = {
    readonly request: TokenRequest;
    readonly reply: (answer: TokenAnswer) => void;
};

/**
 * Requests of this time share one confirmation of leadership. It is short against the interval at which nodes ask, and
 * limits the confirmations to 50 a second at any number of nodes.
 */
const BATCH_MS = 20;

const FORGET_INTERVAL_MS = 10_000;

const quotasOf = (configuration: MeshConfiguration | undefined): ReadonlyMap<string, AccountQuota> =>
    new Map((configuration?.accounts ?? []).flatMap(({ name, quota }) => (quota ? [[name, quota]] : [])));

/** Grants tokens to nodes while this replica leads. Its ledger lives as long as its term. */
export class QuotaGrantTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly quotas = memoizeLatest(quotasOf);
    private ledger: QuotaLedgerState | undefined;
    private ledgerTerm = 0;
    private terms: ReturnType<typeof termHistory.observe> = [];
    /** The term of this leader in which no configuration had been accepted yet. */
    private firstTerm: number | undefined;
    private waiting: WaitingRequest[] = [];
    private timer: NodeJS.Timeout | undefined;
    private granted = 0;

    public constructor(private readonly options: GrantTaskOptions) {
        this.resources.every(FORGET_INTERVAL_MS, () => this.forget());
        this.resources.add({ dispose: () => clearTimeout(this.timer) });
    }

    /** Tokens granted since the start, and accounts of which no token is left now. */
    public get readings(): { readonly grantedTokens: number; readonly exhaustedAccounts: number; } {
        const { clock, configuration, settings } = this.options;
        const exhaustedAccounts = this.ledger
            ? quotaLedger.countExhausted(this.ledger, this.quotas(configuration()), settings, clock.monotonicMs())
            : 0;
        return { grantedTokens: this.granted, exhaustedAccounts };
    }

    /** Applies a changed consensus status. */
    public updateStatus({ leaderId, role, term }: Pick<ConsensusStatus, "leaderId" | "role" | "term">): void {
        if (leaderId !== undefined) {
            this.terms = termHistory.observe(this.terms, term, this.options.clock.monotonicMs());
        }
        if (role !== Role.Leader || term !== this.ledgerTerm) {
            this.ledger = undefined;
        }
        if (role === Role.Leader && this.firstTerm === undefined && !this.options.configuration()) {
            void this.confirmFirstTerm(term);
        }
    }

    /** Answers a request once a majority has confirmed that this replica leads. Otherwise it is not answered. */
    public receive(request: TokenRequest, reply: (answer: TokenAnswer) => void): void {
        if (this.options.status().role !== Role.Leader) {
            return;
        }
        this.waiting.push({ request, reply });
        this.timer ??= setTimeout(() => {
            this.timer = undefined;
            void this.answerWaiting();
        }, BATCH_MS);
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private async answerWaiting(): Promise<void> {
        const { clock, configuration, settings } = this.options;
        const batch = this.waiting;
        this.waiting = [];
        const { term } = this.options.status();
        if (!await this.isConfirmedIn(term)) {
            return;
        }
        const ledger = this.currentLedger(term);
        const quotas = this.quotas(configuration());
        for (const { reply, request } of batch) {
            const answer = quotaLedger.answer(ledger, request, quotas, settings, clock.monotonicMs());
            if (answer) {
                this.granted += this.newTokens(request, answer);
                reply(answer);
            }
        }
    }

    private newTokens({ accounts }: TokenRequest, { grants }: TokenAnswer): number {
        const reported = new Map(accounts.map(([account, , held, pending]) => [account, held + pending]));
        return grants.reduce((sum, [account, tokens]) => sum + Math.max(0, tokens - (reported.get(account) ?? 0)), 0);
    }

    /** Resolves to true if this replica was confirmed as the leader and its term is still `term`. */
    private async isConfirmedIn(term: number): Promise<boolean> {
        const isConfirmed = await this.options.confirmation.confirm();
        const status = this.options.status();
        return isConfirmed && status.role === Role.Leader && status.term === term;
    }

    private currentLedger(term: number): QuotaLedgerState {
        if (this.ledger && this.ledgerTerm === term) {
            return this.ledger;
        }
        const { clock, id, log, settings } = this.options;
        const nowMs = clock.monotonicMs();
        this.terms = termHistory.observe(this.terms, term, nowMs);
        const predecessors = this.firstTerm === term
            ? 0
            : termHistory.countPredecessors(this.terms, quotaLimits.validityMs(settings), nowMs);
        this.ledger = quotaLedger.create(`${id}/${term}`, predecessors, nowMs);
        this.ledgerTerm = term;
        log.info("quota-ledger-started", { term, predecessors });
        return this.ledger;
    }

    /** Without any configuration so far, no earlier leader can have granted a token. */
    private async confirmFirstTerm(term: number): Promise<void> {
        if (await this.isConfirmedIn(term) && !this.options.configuration()) {
            this.firstTerm = term;
        }
    }

    private forget(): void {
        if (this.ledger) {
            const { clock, configuration } = this.options;
            quotaLedger.forget(this.ledger, this.quotas(configuration()), clock.monotonicMs());
        }
    }
}
