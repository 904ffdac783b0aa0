import { Clock } from "../core/Clock";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { crashRefusal } from "./crashRefusal";
import { isServerError } from "./isServerError";
import { LocalInstance } from "./LocalInstance";

/** Dependencies of the guard. */
type GuardOptions = {
    readonly clock: Clock;
    readonly evidence: Pick<CrashEvidenceTask, "rankOf" | "recordCrash" | "verdictOf">;
    /** True if the backend server is stopped on purpose, for example since a rollout has replaced its version. */
    readonly isPlannedEnd: (instance: LocalInstance) => boolean;
};

/** The result of a request that ran, and the backend server that ran it. */
type EndedRun = {
    readonly request: CallRequest;
    readonly instance: LocalInstance;
    readonly rank: number;
    readonly result: CallResult;
};

/** A trial takes about one service time. */
const RETRY_AFTER_TRIAL_MS = 1_000;

/**
 * A request that this backend server has run to its end within this time is not what crashed it. Requests that are sent
 * often are among those that run whenever a backend server crashes.
 */
const COMPLETION_COUNTS_MS = 10_000;
const MAXIMUM_COMPLETIONS = 1_000;

/**
 * Refuses requests under which backend servers crashed, runs at most one trial of such a request at a time, and reports
 * the requests that run when the backend server of this host crashes.
 */
export class CrashGuard {
    private isTrialRunning = false;
    /** When the current start of the backend server last completed a request, by fingerprint, oldest first. */
    private readonly completedAtMs = new Map<string, number>();

    public constructor(private readonly options: GuardOptions) {}

    /** Forgets what the previous start of the backend server has completed. */
    public onNewStart(): void {
        this.completedAtMs.clear();
    }

    /** Returns why a request must not run here now, or undefined if it may. */
    public refusalOf({ fingerprint, isTrial, requestId }: CallRequest): CallResult | undefined {
        const verdict = this.options.evidence.verdictOf(fingerprint);
        if (verdict.kind === "refused") {
            return crashRefusal(requestId, verdict.retryAfterMs);
        }
        // A sender that does not know the crashes yet has not chosen the one backend server for trials.
        const isMisplaced = verdict.kind === "trial" && !isTrial;
        return isMisplaced || (isTrial && this.isTrialRunning)
            ? crashRefusal(requestId, RETRY_AFTER_TRIAL_MS)
            : undefined;
    }

    /** Runs a request unless it must not run here. */
    public async run(
        request: CallRequest,
        instance: LocalInstance,
        send: () => Promise<CallResult>,
    ): Promise<CallResult> {
        const refusal = this.refusalOf(request);
        if (refusal) {
            return refusal;
        }
        const { crashRank = 0, fingerprint, isTrial = false } = request;
        const knownRank = fingerprint === undefined ? 0 : this.options.evidence.rankOf(fingerprint);
        this.isTrialRunning ||= isTrial;
        const result = await send();
        if (isTrial) {
            this.isTrialRunning = false;
        }
        return this.observe({ request, instance, rank: Math.max(crashRank, knownRank) + 1, result });
    }

    private observe({ instance, rank, request, result }: EndedRun): CallResult {
        const { fingerprint, service } = request;
        if (fingerprint === undefined) {
            return result;
        }
        if (result.kind === "answered" && !isServerError(result.answer.status)) {
            this.recordCompletion(fingerprint);
        }
        if (result.kind !== "unknown" || result.reason !== "backend-ended") {
            return result;
        }
        if (instance.drainingSinceMs !== undefined || this.options.isPlannedEnd(instance)) {
            return { kind: "unknown", reason: "broken" };
        }
        if (this.hasCompleted(fingerprint)) {
            return result;
        }
        const crashReport = this.options.evidence.recordCrash({
            fingerprint,
            service,
            backend: { instanceId: instance.id, bornMs: instance.bornMs },
            backendVersion: instance.version,
            rank,
        });
        return { ...result, crashReport };
    }

    private recordCompletion(fingerprint: string): void {
        this.completedAtMs.delete(fingerprint);
        this.completedAtMs.set(fingerprint, this.options.clock.monotonicMs());
        if (this.completedAtMs.size > MAXIMUM_COMPLETIONS) {
            this.completedAtMs.delete([...this.completedAtMs.keys()][0]);
        }
    }

    private hasCompleted(fingerprint: string): boolean {
        const atMs = this.completedAtMs.get(fingerprint);
        return atMs !== undefined && this.options.clock.monotonicMs() - atMs < COMPLETION_COUNTS_MS;
    }
}
