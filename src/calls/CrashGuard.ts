import { Clock } from "../core/Clock";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { CrashObserver } from "../crashes/CrashObserver";
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

/** The end of a run that saw no crash. The backend server may go on with a request after its caller has left. */
const endOf = (result: CallResult, deadlineMs: number): Parameters<ReturnType<CrashObserver["begin"]>>[0] => {
    if (result.kind === "unknown" && result.reason === "cancelled") {
        return { kind: "abandoned", untilMs: deadlineMs };
    }
    const isCompleted = result.kind === "answered" && !isServerError(result.answer.status);
    return { kind: isCompleted ? "completed" : "other" };
};

/**
 * Refuses requests under which backend servers crashed, runs at most one trial of such a request at a time, and reports
 * the requests that run when the backend server of this host crashes.
 */
export class CrashGuard {
    private readonly observer: CrashObserver;

    public constructor(private readonly options: GuardOptions) {
        this.observer = new CrashObserver(options);
    }

    /** Forgets what the previous start of the backend server has completed. */
    public onNewStart(): void {
        this.observer.onNewStart();
    }

    /** Returns why a request must not run here now, or undefined if it may. */
    public refusalOf({ fingerprint, isTrial, requestId }: CallRequest): CallResult | undefined {
        const retryAfterMs = this.observer.retryAfterMs({ fingerprint, isTrial });
        return retryAfterMs === undefined ? undefined : crashRefusal(requestId, retryAfterMs);
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
        const { crashRank, fingerprint, isTrial, remainingMs, service } = request;
        const deadlineMs = this.options.clock.monotonicMs() + remainingMs;
        const end = this.observer.begin({ crashRank, fingerprint, isTrial });
        const result = await send().catch((error: unknown) => {
            end({ kind: "other" });
            throw error;
        });
        const { bornMs, id, version } = instance;
        const backend = { service, backend: { instanceId: id, bornMs }, backendVersion: version };
        const isPlannedEnd = instance.drainingSinceMs !== undefined || this.options.isPlannedEnd(instance);
        if (result.kind !== "unknown" || result.reason !== "backend-ended") {
            end(endOf(result, deadlineMs));
            const isUnreachable = result.kind === "not-run" && result.reason === "unreachable";
            if (isUnreachable && !isPlannedEnd) {
                this.observer.onCrash(backend);
            }
            return result;
        }
        if (isPlannedEnd) {
            end({ kind: "other" });
            return { kind: "unknown", reason: "broken" };
        }
        const crashReport = end({ kind: "crashed", backend });
        return { ...result, ...(crashReport && { crashReport }) };
    }
}
