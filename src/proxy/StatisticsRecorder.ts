import { latencyBucketsMs } from "../distribution/latencyBucketsMs";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { statisticsKey } from "../distribution/statisticsKey";
import { sumStatistics } from "../distribution/sumStatistics";
import { AttemptOutcome } from "./AttemptOutcome";

/** How a request ended and how long it took. */
type CompletedRequest = {
    readonly service: string;
    readonly version: number;
    readonly route: string;
    readonly outcome: AttemptOutcome;
    readonly elapsedMs: number;
};

const errorOutcomes: ReadonlySet<AttemptOutcome> = new Set([
    AttemptOutcome.Failed,
    AttemptOutcome.Unreachable,
    AttemptOutcome.Broken,
    AttemptOutcome.TimedOut,
]);

const toStatistics = ({ elapsedMs, outcome, route, service, version }: CompletedRequest): RequestStatistics => {
    const answered = outcome === AttemptOutcome.Answered;
    const bucket = latencyBucketsMs.findIndex((boundMs) => elapsedMs <= boundMs);
    return {
        service,
        version,
        route,
        requests: 1,
        errors: errorOutcomes.has(outcome) ? 1 : 0,
        refusals: outcome === AttemptOutcome.NotRun ? 1 : 0,
        cancellations: outcome === AttemptOutcome.Cancelled ? 1 : 0,
        latencies: latencyBucketsMs.map((_, index) => (answered && index === bucket ? 1 : 0)),
    };
};

/** Aggregates request outcomes and latencies by service, version and route. */
export class StatisticsRecorder {
    private readonly counts = new Map<string, RequestStatistics>();

    public record(completed: CompletedRequest): void {
        const key = statisticsKey(completed);
        const existing = this.counts.get(key);
        const added = toStatistics(completed);
        this.counts.set(key, existing ? sumStatistics(existing, added) : added);
    }

    /** Returns the counts since the previous call and resets them. */
    public take(): readonly RequestStatistics[] {
        const taken = [...this.counts.values()];
        this.counts.clear();
        return taken;
    }
}
