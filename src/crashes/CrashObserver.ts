import { Clock } from "../core/Clock";
import { CrashEvidenceTask } from "./CrashEvidenceTask";
import { CrashReport } from "./CrashReport";

/** What identifies a request here and what its sender knows of it. */
type ObservedRequest = {
    /** Undefined if the request can't be recognized, for example since its body is streamed. */
    readonly fingerprint: string | undefined;
    /** The highest rank that the sender knows, see `CrashReport`. */
    readonly crashRank?: number;
    /** See `CrashVerdict`. */
    readonly isTrial?: boolean;
};

/** The backend server under which a request ran as it crashed. */
type CrashedBackend = Omit<Parameters<CrashEvidenceTask["recordCrash"]>[0], "fingerprint" | "rank">;

/** How a run ended: completed, or the crash of the backend server, or otherwise. */
type RunEnd =
    | { readonly kind: "completed" | "other"; }
    | { readonly kind: "crashed"; readonly backend: CrashedBackend; }
    | {
        /** Nobody waits for it any more. The backend server may go on with it until this time. */
        readonly kind: "abandoned";
        readonly untilMs: number;
    };

/** A run whose end nobody sees. */
type AbandonedRun = {
    readonly fingerprint: string;
    readonly rank: number;
    readonly untilMs: number;
};

type ObserverOptions = {
    readonly clock: Clock;
    readonly evidence: Pick<CrashEvidenceTask, "rankOf" | "recordCrash" | "verdictOf">;
};

/** A trial takes about one service time. */
const RETRY_AFTER_TRIAL_MS = 1_000;

/**
 * A request that this backend server has run to its end within this time is not what crashed it. Requests that are sent
 * often are among those that run whenever a backend server crashes.
 */
const COMPLETION_COUNTS_MS = 10_000;
const MAXIMUM_COMPLETIONS = 1_000;

const MAXIMUM_ABANDONED = 1_000;

/** Decides which requests may run at the backend server of this host, and reports those that run when it crashes. */
export class CrashObserver {
    private isTrialRunning = false;
    /** When the current start of the backend server last completed a request, by fingerprint, oldest first. */
    private readonly completedAtMs = new Map<string, number>();
    /** Oldest first. */
    private abandoned: readonly AbandonedRun[] = [];

    public constructor(private readonly options: ObserverOptions) {}

    /** True if the backend server may still run requests that nobody waits for. */
    public get hasAbandonedRuns(): boolean {
        return this.abandonedNow().length > 0;
    }

    /** Forgets what the previous start of the backend server has completed, and what it still ran. */
    public onNewStart(): void {
        this.completedAtMs.clear();
        this.abandoned = [];
    }

    /** Reports the abandoned runs: the backend server has crashed and no other request saw that. */
    public onCrash(backend: CrashedBackend): void {
        const runs = this.abandonedNow();
        this.abandoned = [];
        runs.filter(({ fingerprint }) => !this.hasCompleted(fingerprint)).forEach(({ fingerprint, rank }) =>
            this.options.evidence.recordCrash({ ...backend, fingerprint, rank })
        );
    }

    /** Returns after which time to come back if the request must not run here now, else undefined. */
    public retryAfterMs({ fingerprint, isTrial = false }: ObservedRequest): number | undefined {
        const verdict = this.options.evidence.verdictOf(fingerprint);
        if (verdict.kind === "refused") {
            return verdict.retryAfterMs;
        }
        // A sender that does not know the crashes yet has not chosen the one backend server for trials.
        const isMisplaced = verdict.kind === "trial" && !isTrial;
        return isMisplaced || (isTrial && this.isTrialRunning) ? RETRY_AFTER_TRIAL_MS : undefined;
    }

    /**
     * Begins a run. The returned function is to be called once with its end.
     * @returns a function that returns what it reported if the backend server crashed under the request
     */
    public begin({ crashRank = 0, fingerprint, isTrial = false }: ObservedRequest): (
        end: RunEnd,
    ) => CrashReport | undefined {
        const knownRank = fingerprint === undefined ? 0 : this.options.evidence.rankOf(fingerprint);
        const rank = Math.max(crashRank, knownRank) + 1;
        this.isTrialRunning ||= isTrial;
        return (end) => {
            if (isTrial) {
                this.isTrialRunning = false;
            }
            if (fingerprint !== undefined) {
                return this.observe(fingerprint, rank, end);
            }
            if (end.kind === "crashed") {
                this.onCrash(end.backend);
            }
            return undefined;
        };
    }

    private observe(fingerprint: string, rank: number, end: RunEnd): CrashReport | undefined {
        switch (end.kind) {
            case "completed":
                this.recordCompletion(fingerprint);
                return undefined;
            case "abandoned":
                this.abandoned = [...this.abandonedNow(), { fingerprint, rank, untilMs: end.untilMs }]
                    .slice(-MAXIMUM_ABANDONED);
                return undefined;
            case "crashed":
                this.onCrash(end.backend);
                return this.hasCompleted(fingerprint)
                    ? undefined
                    : this.options.evidence.recordCrash({ ...end.backend, fingerprint, rank });
            case "other":
                return undefined;
        }
    }

    private abandonedNow(): readonly AbandonedRun[] {
        const nowMs = this.options.clock.monotonicMs();
        return this.abandoned.filter(({ untilMs }) => untilMs > nowMs);
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
