import { IncomingHttpHeaders } from "node:http";
import { Clock } from "../core/Clock";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { CrashObserver } from "../crashes/CrashObserver";
import { CrashReport } from "../crashes/CrashReport";
import { refusesConnections } from "../transport/refusesConnections";
import { AttemptOutcome } from "./AttemptOutcome";
import { LocalBackend } from "./LocalBackend";
import { localBackends } from "./localBackends";
import { proxyHeaders } from "./proxyHeaders";
import { proxyLimits } from "./proxyLimits";
import { readHeader } from "./readHeader";
import { readTimeoutMs } from "./readTimeoutMs";

type InboundCrashOptions = {
    readonly nodeId: string;
    readonly clock: Clock;
    readonly evidence: CrashEvidenceTask;
};

/** A backend server of this host. */
type ObservedBackend = {
    readonly observer: CrashObserver;
    /** Announcements state no start, so the crashes that were seen are counted. */
    starts: number;
    /** True from a crash until the first request after it. */
    hasCrashed: boolean;
    /** Shared by all requests whose connections break together. Resolves to the start that crashed. */
    check: Promise<number | undefined> | undefined;
};

/** The end of a run that saw no crash. The backend server may go on with a request after its caller has left. */
const endOf = (outcome: AttemptOutcome, deadlineMs: number): Parameters<ReturnType<CrashObserver["begin"]>>[0] =>
    outcome === AttemptOutcome.Cancelled
        ? { kind: "abandoned", untilMs: deadlineMs }
        : { kind: outcome === AttemptOutcome.Answered ? "completed" : "other" };

/** Observes under which requests the backend servers of this host crash. */
export class InboundCrashes {
    private readonly backends = new Map<string, ObservedBackend>();

    public constructor(private readonly options: InboundCrashOptions) {}

    /** Returns after which time to come back if the request must not run here now, else undefined. */
    public retryAfterMs(headers: IncomingHttpHeaders, backend: LocalBackend): number | undefined {
        return this.stateOf(backend).observer.retryAfterMs(this.readRequest(headers));
    }

    /** Begins a run; the returned function is to be awaited with its outcome. It returns the report of a crash. */
    public begin(
        headers: IncomingHttpHeaders,
        backend: LocalBackend,
    ): (outcome: AttemptOutcome) => Promise<CrashReport | undefined> {
        const state = this.stateOf(backend);
        if (state.hasCrashed) {
            state.hasCrashed = false;
            state.observer.onNewStart();
        }
        const end = state.observer.begin(this.readRequest(headers));
        const deadlineMs = this.options.clock.monotonicMs() + readTimeoutMs(headers, proxyLimits.defaultTimeoutMs);
        return async (outcome) => {
            const isUnreachable = outcome === AttemptOutcome.Unreachable && state.observer.hasAbandonedRuns;
            const mayHaveCrashed = outcome === AttemptOutcome.Broken || isUnreachable;
            const start = mayHaveCrashed ? await this.crashedStart(state, backend) : undefined;
            if (start === undefined || backend.drainingSinceMs !== undefined) {
                end(endOf(outcome, deadlineMs));
                return undefined;
            }
            const { backendVersion, service } = backend;
            const instanceId = `${this.options.nodeId}/${localBackends.keyOf(backend)}`;
            const crashed = { service, backendVersion, backend: { instanceId, bornMs: start } };
            if (isUnreachable) {
                end({ kind: "other" });
                state.observer.onCrash(crashed);
                return undefined;
            }
            return end({ kind: "crashed", backend: crashed });
        };
    }

    private readRequest(headers: IncomingHttpHeaders): Parameters<CrashObserver["begin"]>[0] {
        return {
            fingerprint: readHeader(headers, proxyHeaders.fingerprint),
            crashRank: Number(readHeader(headers, proxyHeaders.crashRank)) || 0,
            isTrial: readHeader(headers, proxyHeaders.trial) !== undefined,
        };
    }

    private stateOf(backend: LocalBackend): ObservedBackend {
        const key = localBackends.keyOf(backend);
        const known = this.backends.get(key);
        if (known) {
            return known;
        }
        // The wall clock tells the starts apart that were seen before and after a restart of this process.
        const starts = Math.floor(this.options.clock.wallMs());
        const created = { observer: new CrashObserver(this.options), starts, hasCrashed: false, check: undefined };
        this.backends.set(key, created);
        return created;
    }

    private crashedStart(state: ObservedBackend, { address }: LocalBackend): Promise<number | undefined> {
        state.check ??= refusesConnections(address).then((isRefused) => {
            state.check = undefined;
            if (!isRefused) {
                return undefined;
            }
            state.hasCrashed = true;
            state.starts += 1;
            return state.starts;
        });
        return state.check;
    }
}
