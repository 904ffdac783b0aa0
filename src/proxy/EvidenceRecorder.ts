import { Evidence } from "../distribution/Evidence";
import { evidenceKey } from "../distribution/evidenceKey";
import { latencyBucketsMs } from "../distribution/latencyBucketsMs";
import { sumEvidence } from "../distribution/sumEvidence";
import { AttemptOutcome } from "./AttemptOutcome";

/** A request that has ended. */
type EndedRequest = {
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

const toEvidence = ({ elapsedMs, outcome, route, service, version }: EndedRequest): Evidence => {
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

/** Counts what happened to requests until the counts are taken. */
export class EvidenceRecorder {
    private readonly counts = new Map<string, Evidence>();

    public record(ended: EndedRequest): void {
        const key = evidenceKey(ended);
        const present = this.counts.get(key);
        const added = toEvidence(ended);
        this.counts.set(key, present ? sumEvidence(present, added) : added);
    }

    /** Returns the counts since the last call. */
    public take(): readonly Evidence[] {
        const taken = [...this.counts.values()];
        this.counts.clear();
        return taken;
    }
}
