import { CatalogueCommand } from "../catalogue/CatalogueCommand";
import { CatalogueState } from "../catalogue/CatalogueState";
import { EntryRecord } from "../catalogue/EntryRecord";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { groupBy } from "../core/groupBy";
import { Evidence } from "../distribution/Evidence";
import { ServiceReport } from "../distribution/ServiceReport";
import { Coverage } from "./Coverage";
import { coverageChanges } from "./coverageChanges";
import { decideMove } from "./decideMove";
import { JudgeState } from "./JudgeState";
import { judging } from "./judging";

const DECISION_INTERVAL_MS = 100;

/** What the task is built from. */
type MoveTaskOptions = {
    readonly clock: Clock;
    readonly catalogue: () => CatalogueState;
    readonly reports: () => Iterable<ServiceReport>;
    /** Proposes a command and resolves when its fate is known. */
    readonly propose: (command: CatalogueCommand) => Promise<unknown>;
};

type JudgedMove = {
    readonly judge: JudgeState;
    readonly step: number;
    readonly requestsAtStep: number;
};

/** Drives all moves while this replica leads. What it gathered is lost when it stops leading; decisions wait accordingly. */
export class MoveTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly judged = new Map<string, JudgedMove>();
    private readonly coverages = new Map<string, Coverage>();
    private readonly inFlight = new Set<string>();
    private leadingSinceMs: number | undefined;

    public constructor(private readonly options: MoveTaskOptions) {
        this.resources.every(DECISION_INTERVAL_MS, () => this.decideAll());
    }

    /** Starts or stops driving moves. */
    public lead(leading: boolean): void {
        if (leading === (this.leadingSinceMs !== undefined)) {
            return;
        }
        this.leadingSinceMs = leading ? this.options.clock.wallMs() : undefined;
        this.judged.clear();
        this.coverages.clear();
    }

    /** Takes in evidence from the proxies. */
    public observe(evidence: readonly Evidence[]): void {
        for (const service of new Set(evidence.map((item) => item.service))) {
            const move = this.judged.get(service);
            if (move) {
                this.judged.set(service, { ...move, judge: judging.observe(move.judge, evidence) });
            }
        }
    }

    /** The coverage of one service, as far as this leader knows it. */
    public coverageOf(service: string): Coverage {
        return this.coverages.get(service) ?? coverageChanges.initial;
    }

    /** The judgement of the service's move, if there is one. */
    public judgeOf(service: string): JudgeState | undefined {
        return this.judged.get(service)?.judge;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private decideAll(): void {
        const judgingSinceMs = this.leadingSinceMs;
        if (judgingSinceMs === undefined) {
            return;
        }
        const byService = groupBy(this.options.reports(), ({ service }) => service);
        const nowMs = this.options.clock.wallMs();
        for (const record of this.options.catalogue().records.values()) {
            const reports = byService.get(record.service) ?? [];
            const coverage = coverageChanges.update(this.coverageOf(record.service), reports, nowMs);
            this.coverages.set(record.service, coverage);
            this.decide(record, coverage, judgingSinceMs, nowMs);
        }
    }

    private decide(record: EntryRecord, coverage: Coverage, judgingSinceMs: number, nowMs: number): void {
        const { move, service } = record;
        if (!move) {
            this.judged.delete(service);
            return;
        }
        if (this.inFlight.has(service)) {
            return;
        }
        const judgedMove = this.judgedMoveOf(record, move.step);
        this.judged.set(service, judgedMove);
        const { judge, requestsAtStep } = judgedMove;
        const command = decideMove({ record, judge, coverage, requestsAtStep, judgingSinceMs, nowMs });
        if (command) {
            void this.carryOut(command);
        }
    }

    private judgedMoveOf({ move, service, stable }: EntryRecord, step: number): JudgedMove {
        const version = move?.version ?? 0;
        const present = this.judged.get(service);
        if (!present || present.judge.candidateVersion !== version) {
            return { judge: judging.start(service, stable?.version ?? 0, version), step, requestsAtStep: 0 };
        }
        if (present.step === step) {
            return present;
        }
        return { ...present, step, requestsAtStep: judging.candidateRequests(present.judge) };
    }

    private async carryOut(command: CatalogueCommand): Promise<void> {
        const { service } = command as { readonly service: string; };
        this.inFlight.add(service);
        try {
            await this.options.propose(command);
        }
        finally {
            this.inFlight.delete(service);
        }
    }
}
