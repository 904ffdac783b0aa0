import { Clock } from "../../core/Clock";
import { RandomSource } from "../../core/RandomSource";
import { AccountQuota } from "../AccountQuota";
import { ElapsedClock } from "../ElapsedClock";
import { QuotaBalances } from "../QuotaBalances";
import { quotaLedger } from "../quotaLedger";
import { quotaLimits } from "../quotaLimits";
import { QuotaOutcome } from "../QuotaOutcome";
import { QuotaSettings } from "../QuotaSettings";

type Ledger = ReturnType<typeof quotaLedger.create>;

class ModelClock extends Clock {
    public monotonic = 0;
    public wall = 0;

    public override monotonicMs(): number {
        return this.monotonic;
    }

    public override wallMs(): number {
        return this.wall;
    }
}

type ModelNode = {
    clock: ModelClock;
    elapsed: ElapsedClock;
    balances: QuotaBalances;
    isCut: boolean;
    isSuspended: boolean;
};

type Message = { readonly dueMs: number; readonly deliver: () => void; };

type ModelOptions = {
    readonly nodes: number;
    readonly quotas: ReadonlyMap<string, AccountQuota>;
    readonly settings: QuotaSettings;
    readonly random: RandomSource;
    /** One-way time of a message, the wait for the confirmation included. */
    readonly delayMs: () => number;
    /** Replaces `quotaLedger.create` in a mutation. */
    readonly create?: typeof quotaLedger.create;
};

/** Time between the steps of the model. */
const STEP_MS = 10;

/** Runs the production decisions of some nodes and a leader on a model of time and messages. */
export class QuotaModel {
    public nowMs = 0;
    public sentMessages = 0;
    public sentBytes = 0;
    private readonly nodes: ModelNode[];
    private readonly leaderClock = new ModelClock();
    private isLeaderSuspended = false;
    private ledger: Ledger | undefined;
    private ledgerCount = 0;
    private readonly ledgerStartsMs: number[] = [];
    private senders = 0;
    private messages: Message[] = [];
    private arrivals = 0;

    public constructor(private readonly options: ModelOptions) {
        this.nodes = Array.from({ length: options.nodes }, () => this.createNode());
        this.startLedger();
    }

    /** Ends the term of the leader and starts the next one after `pauseMs`. */
    public replaceLeader(pauseMs: number): void {
        this.ledger = undefined;
        this.messages.push({ dueMs: this.nowMs + pauseMs, deliver: () => this.startLedger() });
    }

    public setLeaderSuspended(isSuspended: boolean): void {
        this.isLeaderSuspended = isSuspended;
    }

    /** Cuts the connection of a node to the leader; messages on the way are lost. */
    public cut(index: number, isCut: boolean): void {
        this.nodes[index].isCut = isCut;
    }

    public suspend(index: number, isSuspended: boolean): void {
        this.nodes[index].isSuspended = isSuspended;
    }

    public stepWallClock(index: number, byMs: number): void {
        this.nodes[index].clock.wall += byMs;
    }

    public restart(index: number): void {
        this.nodes[index] = this.createNode();
    }

    /** Advances by one step, in which messages arrive and nodes request tokens. */
    public step(): void {
        this.nowMs += STEP_MS;
        this.leaderClock.monotonic += this.isLeaderSuspended ? 0 : STEP_MS;
        for (const { clock, isSuspended } of this.nodes) {
            clock.wall += STEP_MS;
            clock.monotonic += isSuspended ? 0 : STEP_MS;
        }
        const due = this.messages.filter(({ dueMs }) => dueMs <= this.nowMs);
        this.messages = this.messages.filter(({ dueMs }) => dueMs > this.nowMs);
        due.forEach(({ deliver }) => deliver());
        this.nodes.forEach((node) => this.sendRequest(node));
    }

    /** A request of the account at a node. Undefined if the node is suspended. */
    public arrive(index: number, account: string): QuotaOutcome | undefined {
        const node = this.nodes[index];
        if (node.isSuspended) {
            return undefined;
        }
        this.arrivals += 1;
        const decision = node.balances.decide(account, this.arrivals, 0, node.elapsed.nowMs());
        if (decision?.isUrgent) {
            this.sendRequest(node);
        }
        return decision?.outcome;
    }

    /** Ends the last request that arrived. */
    public settleLast(index: number, account: string, hasRun: boolean): void {
        this.nodes[index].balances.settle(account, this.arrivals, hasRun);
    }

    private createNode(): ModelNode {
        this.senders += 1;
        const clock = new ModelClock();
        const balances = new QuotaBalances(`sender-${this.senders}`);
        balances.updateAccounts(new Set(this.options.quotas.keys()));
        return { clock, elapsed: new ElapsedClock(clock), balances, isCut: false, isSuspended: false };
    }

    private startLedger(): void {
        const { create = quotaLedger.create, settings } = this.options;
        this.ledgerCount += 1;
        const validityMs = quotaLimits.validityMs(settings);
        const recent = this.ledgerStartsMs.filter((startMs) => this.nowMs - startMs < validityMs).length;
        const predecessors = Math.min(this.ledgerStartsMs.length, recent + 1);
        this.ledger = create(`ledger-${this.ledgerCount}`, predecessors, this.leaderClock.monotonic);
        this.ledgerStartsMs.push(this.nowMs);
    }

    private sendRequest(node: ModelNode): void {
        const { balances, elapsed, isCut, isSuspended } = node;
        const outgoing = isSuspended ? undefined : balances.nextRequest(elapsed.nowMs());
        if (!outgoing) {
            return;
        }
        const { delayMs, quotas, settings } = this.options;
        this.count(outgoing.request);
        if (isCut) {
            return;
        }
        this.send(delayMs(), () => this.isLeaderSuspended, () => {
            const answer = this.ledger
                && quotaLedger.answer(this.ledger, outgoing.request, quotas, settings, this.leaderClock.monotonic);
            if (answer) {
                this.count(answer);
                this.send(delayMs(), () => node.isSuspended, () => {
                    if (!node.isCut) {
                        balances.receive(answer, "leader", elapsed.nowMs());
                    }
                });
            }
        });
    }

    /** Delivers a message after some time, or once its receiver is no longer suspended. */
    private send(delayMs: number, isHeld: () => boolean, deliver: () => void): void {
        const deliverOrHold = (): void => {
            if (isHeld()) {
                this.messages.push({ dueMs: this.nowMs + STEP_MS, deliver: deliverOrHold });
                return;
            }
            deliver();
        };
        this.messages.push({ dueMs: this.nowMs + delayMs, deliver: deliverOrHold });
    }

    private count(message: unknown): void {
        this.sentMessages += 1;
        this.sentBytes += JSON.stringify(message).length;
    }
}
