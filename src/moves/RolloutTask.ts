import { CatalogueCommand } from "../catalogue/CatalogueCommand";
import { CatalogueState } from "../catalogue/CatalogueState";
import { EntryRecord } from "../catalogue/EntryRecord";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { groupBy } from "../core/groupBy";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { ServiceReport } from "../distribution/ServiceReport";
import { canaryAnalysis } from "./canaryAnalysis";
import { CanaryAnalysisState } from "./CanaryAnalysisState";
import { Coverage } from "./Coverage";
import { coverageTracking } from "./coverageTracking";
import { decideRollout } from "./decideRollout";

const DECISION_INTERVAL_MS = 100;

/** Dependencies of the task. */
type RolloutTaskOptions = {
    readonly clock: Clock;
    readonly catalogue: () => CatalogueState;
    readonly reports: () => Iterable<ServiceReport>;
    /** Proposes a command to the replicated log and resolves when its outcome is known. */
    readonly propose: (command: CatalogueCommand) => Promise<unknown>;
};

type TrackedRollout = {
    readonly analysis: CanaryAnalysisState;
    readonly step: number;
    readonly requestsAtStepStart: number;
};

/**
 * Drives all rollouts while this replica leads. The collected statistics are lost when it stops leading, so a new
 * leader waits for the full bake and watch times again before it advances or finishes a rollout.
 */
export class RolloutTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly rollouts = new Map<string, TrackedRollout>();
    private readonly coverages = new Map<string, Coverage>();
    private readonly servicesWithPendingCommand = new Set<string>();
    private leadingSinceMs: number | undefined;

    public constructor(private readonly options: RolloutTaskOptions) {
        this.resources.every(DECISION_INTERVAL_MS, () => this.decideAll());
    }

    /** Starts or stops driving rollouts. */
    public setLeading(leading: boolean): void {
        if (leading === (this.leadingSinceMs !== undefined)) {
            return;
        }
        this.leadingSinceMs = leading ? this.options.clock.wallMs() : undefined;
        this.rollouts.clear();
        this.coverages.clear();
    }

    /** Adds request statistics reported by the proxies. */
    public observe(statistics: readonly RequestStatistics[]): void {
        for (const service of new Set(statistics.map((item) => item.service))) {
            const rollout = this.rollouts.get(service);
            if (rollout) {
                this.rollouts.set(service, {
                    ...rollout,
                    analysis: canaryAnalysis.observe(rollout.analysis, statistics),
                });
            }
        }
    }

    /** The coverage of one service, as reported to this leader so far. */
    public coverageOf(service: string): Coverage {
        return this.coverages.get(service) ?? coverageTracking.initial;
    }

    /** The analysis of the service's rollout, undefined if there is none. */
    public analysisOf(service: string): CanaryAnalysisState | undefined {
        return this.rollouts.get(service)?.analysis;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private decideAll(): void {
        const leadingSinceMs = this.leadingSinceMs;
        if (leadingSinceMs === undefined) {
            return;
        }
        const byService = groupBy(this.options.reports(), ({ service }) => service);
        const nowMs = this.options.clock.wallMs();
        for (const record of this.options.catalogue().records.values()) {
            const reports = byService.get(record.service) ?? [];
            const coverage = coverageTracking.update(this.coverageOf(record.service), reports, nowMs);
            this.coverages.set(record.service, coverage);
            this.decide(record, coverage, leadingSinceMs, nowMs);
        }
    }

    private decide(record: EntryRecord, coverage: Coverage, analysisSinceMs: number, nowMs: number): void {
        const { move, service } = record;
        if (!move) {
            this.rollouts.delete(service);
            return;
        }
        if (this.servicesWithPendingCommand.has(service)) {
            return;
        }
        const rollout = this.trackedRolloutOf(record, move.step);
        this.rollouts.set(service, rollout);
        const { analysis, requestsAtStepStart } = rollout;
        const command = decideRollout({ record, analysis, coverage, requestsAtStepStart, analysisSinceMs, nowMs });
        if (command) {
            void this.proposeCommand(command);
        }
    }

    private trackedRolloutOf({ move, service, stable }: EntryRecord, step: number): TrackedRollout {
        const version = move?.version ?? 0;
        const current = this.rollouts.get(service);
        if (!current || current.analysis.candidateVersion !== version) {
            return {
                analysis: canaryAnalysis.start(service, stable?.version ?? 0, version),
                step,
                requestsAtStepStart: 0,
            };
        }
        if (current.step === step) {
            return current;
        }
        return { ...current, step, requestsAtStepStart: canaryAnalysis.candidateRequests(current.analysis) };
    }

    private async proposeCommand(command: CatalogueCommand): Promise<void> {
        const { service } = command as { readonly service: string; };
        this.servicesWithPendingCommand.add(service);
        try {
            await this.options.propose(command);
        }
        finally {
            this.servicesWithPendingCommand.delete(service);
        }
    }
}
