import { ClientAccount } from "../configuration/ClientAccount";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { RandomSource } from "../core/RandomSource";
import { ElapsedClock } from "./ElapsedClock";
import { QuotaBalances } from "./QuotaBalances";
import { QuotaOutcome } from "./QuotaOutcome";
import { TokenAnswer } from "./TokenAnswer";
import { TokenRequest } from "./TokenRequest";

/** Dependencies of a `QuotaTask`. */
type QuotaTaskOptions = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: Pick<EventLog, "infoRateLimited">;
    /** A name that no other process of the mesh ever had. */
    readonly sender: string;
    /** Sends a request to the control replica at this address, or to all of them if it is undefined. */
    readonly send: (request: TokenRequest, address: string | undefined) => void;
    readonly onDecision: (outcome: QuotaOutcome) => void;
};

/** How often it is checked whether an account needs tokens. Exhausted balances are reported without this delay. */
const CHECK_INTERVAL_MS = 50;

/** Decides which requests of accounts with a quota are admitted here, and requests tokens from the leader. */
export class QuotaTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly elapsed: ElapsedClock;
    private readonly balances: QuotaBalances;
    private urgentRequest: NodeJS.Immediate | undefined;

    public constructor(private readonly options: QuotaTaskOptions) {
        this.elapsed = new ElapsedClock(options.clock);
        this.balances = new QuotaBalances(options.sender);
        this.resources.every(CHECK_INTERVAL_MS, () => this.request());
        this.resources.add({ dispose: () => clearImmediate(this.urgentRequest) });
    }

    /** Requests that may be admitted now, of all accounts. */
    public get availableTokens(): number {
        return this.balances.available(this.elapsed.nowMs());
    }

    /** Applies the accounts of the configuration in force. */
    public updateAccounts(accounts: readonly ClientAccount[] | undefined): void {
        const withQuota = (accounts ?? []).filter(({ quota }) => quota !== undefined);
        this.balances.updateAccounts(new Set(withQuota.map(({ name }) => name)));
    }

    /** Decides on a request; undefined if its account has no quota. */
    public decide(account: string, arrivedMs: number): ReturnType<QuotaBalances["decide"]> {
        const { onDecision, random } = this.options;
        const decision = this.balances.decide(account, arrivedMs, random.fraction(), this.elapsed.nowMs());
        if (decision) {
            onDecision(decision.outcome);
        }
        if (decision?.isUrgent) {
            // Runs after the requests that arrived together with this one, so that one report covers them all.
            this.urgentRequest ??= setImmediate(() => {
                this.urgentRequest = undefined;
                this.request();
            });
        }
        return decision;
    }

    /** Ends a request that `decide` admitted. */
    public settle(account: string, arrivedMs: number, hasRun: boolean): void {
        this.balances.settle(account, arrivedMs, hasRun);
    }

    /** Handles the answer of the control replica at this address. */
    public receive(answer: TokenAnswer, address: string): void {
        if (this.balances.receive(answer, address, this.elapsed.nowMs())) {
            answer.exhausted.forEach(([account, retryAfterMs, spreadMs]) =>
                this.options.log.infoRateLimited("quota-exhausted", { account, retryAfterMs, spreadMs })
            );
        }
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private request(): void {
        const outgoing = this.balances.nextRequest(this.elapsed.nowMs());
        if (outgoing) {
            this.options.send(outgoing.request, outgoing.address);
        }
    }
}
