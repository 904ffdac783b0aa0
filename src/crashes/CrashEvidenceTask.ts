import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { EventLog } from "../core/EventLog";
import { GossipedState } from "../membership/GossipedState";
import { crashEvidence } from "./crashEvidence";
import { CrashReport } from "./CrashReport";
import { CrashVerdict } from "./CrashVerdict";

/** A crash of a backend server under a request, as the node that observed it reports it. */
type ObservedCrash = {
    readonly fingerprint: string;
    readonly service: string;
    /** The start of the backend server. */
    readonly backend: { readonly instanceId: string; readonly bornMs: number; };
    readonly backendVersion: string;
    readonly rank: number;
};

/** A request against which crashes count, as operators see it. */
type ListedRequest = {
    readonly fingerprint: string;
    readonly service: string;
    readonly crashes: number;
    readonly verdict: CrashVerdict;
};

/** Dependencies and callbacks of a `CrashEvidenceTask`. */
type EvidenceOptions = {
    readonly clock: Clock;
    readonly log: Pick<EventLog, "infoRateLimited">;
    /** Returns the versions of the service's backend servers that may get requests. */
    readonly versionsInService: (service: string) => ReadonlySet<string>;
    /** Sends reports to the neighbours. */
    readonly spread: (reports: readonly CrashReport[]) => void;
    /** Called when a request begins to be refused. */
    readonly onRefused?: (fingerprint: string, retryAfterMs: number) => void;
};

/**
 * Knows the requests under which backend servers crashed, as far as any member does, and decides whether they may be
 * sent. It works from memory: a request never waits for it.
 */
export class CrashEvidenceTask extends GossipedState implements Disposable {
    private state = crashEvidence.empty;
    /** What is to be spread once all crashes observed at this moment have been reported. */
    private readonly pending = new Map<string, CrashReport>();
    private pendingSend: NodeJS.Immediate | undefined;

    public constructor(private readonly options: EvidenceOptions) {
        super();
    }

    /** The crashes that count against requests that are refused, or lately were. */
    public refusedReports(): readonly CrashReport[] {
        return crashEvidence.refusedReports(this.state, this.nowMs());
    }

    /** Requests against which crashes may count. */
    public get size(): number {
        return this.state.size;
    }

    /** Requests that are refused now. */
    public get refusedCount(): number {
        return this.list().filter(({ verdict }) => verdict.kind === "refused").length;
    }

    /** Decides whether a request may be sent now. */
    public verdictOf(fingerprint: string | undefined): CrashVerdict {
        const entry = fingerprint === undefined ? undefined : this.state.get(fingerprint);
        if (fingerprint === undefined || !entry) {
            return { kind: "free" };
        }
        const versionsInService = this.options.versionsInService(entry.service);
        return crashEvidence.verdictOf(this.state, fingerprint, { nowMs: this.nowMs(), versionsInService });
    }

    /** See `CrashReport`; 0 if no crash of the request is known. */
    public rankOf(fingerprint: string): number {
        return crashEvidence.rankOf(this.state, fingerprint);
    }

    /** Records a crash and tells all members. Returns what it tells them. */
    public recordCrash({ backend, backendVersion, fingerprint, rank, service }: ObservedCrash): CrashReport {
        const crash = { backend: `${backend.instanceId}/${backend.bornMs}`, backendVersion, rank, ageMs: 0 };
        const report: CrashReport = { fingerprint, service, crashes: [crash] };
        this.learn(report);
        return report;
    }

    /** Takes in the report of a crash that came with the result of a request. */
    public learn(report: CrashReport): void {
        this.apply(crashEvidence.merge(this.state, [report], this.nowMs()), "crash");
    }

    /** Records that a backend server has run the request to its end, and tells all members if crashes counted so far. */
    public recordCompletion(fingerprint: string): void {
        this.apply(crashEvidence.clear(this.state, fingerprint, this.nowMs()), "completed");
    }

    /** Lifts the refusal of a request. Returns false if none of its crashes counts. */
    public lift(fingerprint: string): boolean {
        const change = crashEvidence.clear(this.state, fingerprint, this.nowMs());
        this.apply(change, "lifted");
        return change.news.length > 0;
    }

    /** The requests against which crashes count, those with the most crashes first. */
    public list(): readonly ListedRequest[] {
        return [...this.state]
            .map(([fingerprint, { service }]) => ({
                fingerprint,
                service,
                crashes: crashEvidence.crashesOf(this.state, fingerprint),
                verdict: this.verdictOf(fingerprint),
            }))
            .filter(({ verdict }) => verdict.kind !== "free")
            .sort((left, right) => right.crashes - left.crashes);
    }

    public override snapshot(): readonly CrashReport[] | undefined {
        return this.state.size === 0 ? undefined : crashEvidence.reportAll(this.state, this.nowMs());
    }

    public override receive(body: unknown): readonly CrashReport[] | undefined {
        const change = crashEvidence.merge(this.state, body as readonly CrashReport[], this.nowMs());
        this.accept(change, "reported");
        return change.news.length === 0 ? undefined : change.news;
    }

    public dispose(): void {
        clearImmediate(this.pendingSend);
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private apply(change: ReturnType<typeof crashEvidence.merge>, cause: string): void {
        this.accept(change, cause);
        change.news.forEach((report) => this.pending.set(report.fingerprint, report));
        if (this.pending.size > 0) {
            this.pendingSend ??= setImmediate(() => {
                this.pendingSend = undefined;
                const reports = [...this.pending.values()];
                this.pending.clear();
                this.options.spread(reports);
            });
        }
    }

    private accept({ news, state }: ReturnType<typeof crashEvidence.merge>, cause: string): void {
        const { log, onRefused } = this.options;
        const before = new Map(news.map(({ fingerprint }) => [fingerprint, this.verdictOf(fingerprint).kind]));
        this.state = state;
        for (const { fingerprint, service } of news) {
            const verdict = this.verdictOf(fingerprint);
            log.infoRateLimited("crash-evidence", {
                fingerprint,
                service,
                cause,
                crashes: crashEvidence.crashesOf(state, fingerprint),
                verdict: verdict.kind,
                refusedMs: verdict.kind === "refused" ? Math.round(verdict.retryAfterMs) : undefined,
            });
            if (verdict.kind === "refused" && before.get(fingerprint) !== "refused") {
                onRefused?.(fingerprint, verdict.retryAfterMs);
            }
        }
    }
}
