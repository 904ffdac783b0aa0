import { MeshRoute } from "../configuration/MeshRoute";
import { Clock } from "../core/Clock";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { turnLateness } from "../core/turnLateness";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { CrashVerdict } from "../crashes/CrashVerdict";
import { requestFingerprint } from "../crashes/requestFingerprint";
import { BackendSelector } from "./BackendSelector";
import { BackendViews } from "./BackendViews";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { CallTask } from "./CallTask";
import { crashRefusal } from "./crashRefusal";
import { EntryThrottle } from "./EntryThrottle";
import { evacuatedResult } from "./evacuatedResult";
import { isIdempotent } from "./isIdempotent";
import { isServerError } from "./isServerError";
import { NestedCalls } from "./NestedCalls";
import { raceWithHedge } from "./raceWithHedge";
import { refusalShare } from "./refusalShare";
import { retryBudget } from "./retryBudget";
import { RoutableBackend } from "./RoutableBackend";
import { RouteStatistics } from "./RouteStatistics";

/** Dependencies and settings of the dispatcher. */
type DispatcherOptions = {
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "settle" | "sincePolledMs">;
    readonly calls: CallTask;
    readonly views: BackendViews;
    readonly selector: BackendSelector;
    readonly statistics: RouteStatistics;
    readonly nestedCalls: NestedCalls;
    readonly crashEvidence: Pick<CrashEvidenceTask, "learn" | "rankOf" | "recordCompletion" | "verdictOf">;
    /** True if backend servers of the service are left out because their zone is evacuated. */
    readonly isEvacuated: (service: string) => boolean;
    readonly allowance: Parameters<typeof retryBudget.mayRetry>[1];
    /** Returns the requests a second that a cold backend server of the service tolerates; undefined without a limit. */
    readonly coldRequestsPerSecond?: (service: string) => number | undefined;
    readonly onAttempt: (attempt: EndedAttempt) => void;
};

/** A finished attempt, as reported to the canary analysis and to the log. */
type EndedAttempt = {
    readonly requestId: string;
    readonly route: string;
    readonly choice: RoutableBackend;
    readonly result: CallResult;
    readonly elapsedMs: number;
    readonly attempt: number;
    /** Cancelled because a hedge, which was made since this attempt took long, succeeded first. */
    readonly overdue: boolean;
};

/** The result of an attempt and its hedge. */
type HedgedResult = {
    readonly result: CallResult;
    readonly hedges: number;
};

/** A caller's request that is to be sent to a backend server. */
type DispatchedCall = {
    readonly route: MeshRoute;
    readonly service: string;
    readonly request: Omit<CallRequest, "instanceId" | "remainingMs" | "targetRemainingMs">;
    /** Time of the monotonic clock after which a response counts as late. */
    readonly targetAtMs: number;
    /** Time of the monotonic clock after which no response is of use. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
};

type AttemptKind = {
    readonly isHedge?: boolean;
    /** See `CallRequest`. */
    readonly isTrial?: boolean;
    readonly isLastAttempt?: boolean;
};

/** Reasons for which an attempt fails without costing much time or any slot. */
const unavailableReasons: ReadonlySet<string> = new Set(["link-down", "evacuated", "stopping"]);

/** Reasons of refusals that another backend server is likely to repeat. */
const refusalReasons: ReadonlySet<string> = new Set(["no-room", "expired", "unconfirmed"]);

/** Reasons for which a trial has not reached the backend server chosen for it, so that the next one takes its place. */
const absentReasons: ReadonlySet<string> = new Set(["unreachable", "link-down", "not-here", "evacuated", "stopping"]);

/** A node whose sockets were polled within this time keeps up with its callers. */
const KEEPS_UP_MS = 2 * turnLateness.tickIntervalMs;

/** How many attempts of one request may fail for these reasons; after one more it is not retried. */
const MAXIMUM_UNAVAILABLE = 6;

/** Two hops and the shortest work take this long: with less time left another attempt can't be answered. */
const MINIMUM_ATTEMPT_MS = 15;

/** Retry-after time if no backend server is known for a service: an announcement may be on its way. */
const NO_BACKEND_RETRY_AFTER_MS = 300;

/** Makes the attempts of a request within the route's limits, the retry budget and the deadline. */
export class CallDispatcher {
    /** By service and priority. */
    private readonly refusals = new Map<string, typeof refusalShare.empty>();
    private readonly budgets = new Map<string, typeof retryBudget.empty>();
    private readonly throttle = new EntryThrottle();

    public constructor(private readonly options: DispatcherOptions) {}

    public async dispatch({ request, ...target }: DispatchedCall): Promise<CallResult> {
        const priority = this.options.nestedCalls.priorityOf(request.route, request.priority);
        const fingerprint = requestFingerprint(request);
        const call: DispatchedCall = { ...target, request: { ...request, priority, fingerprint } };
        const result = await this.passThrottle(call);
        const { answerWithinMs } = this.options.calls;
        // The next process of this node serves its callers; until this one has ended, the same would be refused again.
        return result.kind === "not-run" && result.reason === "stopping" && answerWithinMs !== undefined
            ? { ...result, retryAfterMs: answerWithinMs }
            : result;
    }

    /** Sends a caller's request unless it is rejected at once. Nested calls are always sent. */
    private async passThrottle(call: DispatchedCall): Promise<CallResult> {
        const { clock, nestedCalls, statistics } = this.options;
        const { request: { priority }, route, service, targetAtMs } = call;
        if (nestedCalls.isNested(route.name)) {
            return this.attemptUntilDone(call);
        }
        const arrivedMs = clock.monotonicMs();
        const throttled = {
            service,
            priority,
            targetRemainingMs: targetAtMs - arrivedMs,
            targetLatencyMs: route.targetLatencyMs,
            serviceMs: statistics.serviceMs(route.name) ?? 0,
        };
        const refusal = this.throttle.enter(throttled, arrivedMs);
        if (refusal) {
            return refusal;
        }
        const result = await this.attemptUntilDone(call);
        this.throttle.leave(throttled, result, clock.monotonicMs());
        return result;
    }

    private async attemptUntilDone(call: DispatchedCall): Promise<CallResult> {
        const { allowance, clock } = this.options;
        const { request } = call;
        this.budgets.set(call.service, retryBudget.onRequest(this.budgetOf(call), allowance, clock.monotonicMs()));
        const tried = new Set<string>();
        let sent = 0;
        let refusals = 0;
        let unavailable = 0;
        let last: CallResult | undefined;
        let mayHaveRun: CallResult | undefined;
        for (;;) {
            const verdict = this.verdictOf(call);
            if (verdict.kind === "refused") {
                return mayHaveRun ?? crashRefusal(request.requestId, verdict.retryAfterMs);
            }
            const choice = this.selectUntried(call, tried, verdict);
            if (!choice) {
                return mayHaveRun ?? last ?? this.noBackendResult(call);
            }
            tried.add(choice.nodeId);
            const isLastAttempt = !this.mayTryElsewhere(call, tried, refusals);
            const ended = await this.attemptWithHedge(call, choice, tried, sent + 1, verdict, isLastAttempt);
            last = ended.result;
            sent += ended.hedges;
            mayHaveRun = last.kind === "not-run" ? mayHaveRun : last;
            const reached = last.kind !== "not-run" || last.reason === "shed";
            sent += reached ? 1 : 0;
            const isUnavailable = last.kind === "not-run" && unavailableReasons.has(last.reason);
            unavailable += isUnavailable ? 1 : 0;
            refusals += reached || isUnavailable ? 0 : 1;
            this.recordRefusal(call, last);
            const isTrialOver = verdict.kind === "trial"
                && !(last.kind === "not-run" && absentReasons.has(last.reason));
            if (isTrialOver || unavailable > MAXIMUM_UNAVAILABLE || !this.mayRetry(call, last, sent, refusals)) {
                return mayHaveRun ?? last;
            }
            if (sent > 0) {
                this.budgets.set(
                    call.service,
                    retryBudget.onRetry(this.budgetOf(call), allowance, clock.monotonicMs()),
                );
            }
        }
    }

    /** The result of a request for which no backend server is known or in service. */
    private noBackendResult({ request, service }: DispatchedCall): CallResult {
        return this.options.isEvacuated(service)
            ? evacuatedResult(request.requestId)
            : { kind: "not-run", reason: "no-backend", retryAfterMs: NO_BACKEND_RETRY_AFTER_MS };
    }

    private verdictOf({ request }: DispatchedCall): CrashVerdict {
        return this.options.crashEvidence.verdictOf(request.fingerprint);
    }

    private budgetOf({ service }: DispatchedCall): typeof retryBudget.empty {
        return this.budgets.get(service) ?? retryBudget.empty;
    }

    private refusalKey({ request, service }: DispatchedCall): string {
        return `${service}/${request.priority}`;
    }

    private recordRefusal(call: DispatchedCall, result: CallResult): void {
        const key = this.refusalKey(call);
        const isRefused = result.kind === "not-run" && refusalReasons.has(result.reason);
        const nowMs = this.options.clock.monotonicMs();
        this.refusals.set(key, refusalShare.record(this.refusals.get(key) ?? refusalShare.empty, isRefused, nowMs));
    }

    /** True if the request is tried at another backend server in case the next one refuses it. */
    private mayTryElsewhere(call: DispatchedCall, tried: ReadonlySet<string>, refusals: number): boolean {
        return refusals < this.maximumRefusals(call) && this.options.selector.hasUntried(call.service, tried);
    }

    /** How many refusals of a request for want of capacity are followed by another attempt. */
    private maximumRefusals(call: DispatchedCall): number {
        const state = this.refusals.get(this.refusalKey(call)) ?? refusalShare.empty;
        return refusalShare.maximumRetries(state, this.options.clock.monotonicMs());
    }

    private selectUntried(
        { request, route, service, targetAtMs }: DispatchedCall,
        tried: ReadonlySet<string>,
        verdict: CrashVerdict,
    ): RoutableBackend | undefined {
        const { selector } = this.options;
        if (verdict.kind === "trial") {
            return selector.selectForTrial(service, request.fingerprint ?? "", tried);
        }
        return selector.select(
            { routeName: route.name, service, priority: request.priority, targetAtMs },
            tried,
        );
    }

    /** Makes an attempt, and a second one at another node if the response is overdue. The first success wins. */
    private async attemptWithHedge(
        call: DispatchedCall,
        choice: RoutableBackend,
        tried: Set<string>,
        attempt: number,
        verdict: CrashVerdict,
        isLastAttempt: boolean,
    ): Promise<HedgedResult> {
        const delayMs = this.options.statistics.hedgeDelayMs(call.route.name);
        const mayHedge = isIdempotent(call.route) && attempt < call.route.maximumAttempts && verdict.kind === "free";
        if (!mayHedge || delayMs === undefined) {
            const isTrial = verdict.kind === "trial";
            const kind = { isTrial, isLastAttempt };
            return { result: await this.attempt(call, choice, attempt, call.signal, kind), hedges: 0 };
        }
        const { hedged, result } = await raceWithHedge({
            first: (signal) => this.attempt(call, choice, attempt, signal, { isLastAttempt }),
            chooseSecond: () => this.chooseHedge(call, tried, attempt + 1),
            delayMs,
            settle: () => this.options.turns.settle(),
            signal: call.signal,
        });
        return { result, hedges: hedged ? 1 : 0 };
    }

    /** Returns a second attempt if a backend server has a free slot and the retry budget allows it. */
    private chooseHedge(call: DispatchedCall, tried: Set<string>, attempt: number) {
        const { allowance, clock, selector } = this.options;
        const nowMs = clock.monotonicMs();
        const verdict = this.verdictOf(call);
        const choice = verdict.kind === "free" ? this.selectUntried(call, tried, verdict) : undefined;
        if (!choice || !selector.hasFreeSlot(choice) || !retryBudget.mayRetry(this.budgetOf(call), allowance, nowMs)) {
            return undefined;
        }
        tried.add(choice.nodeId);
        this.budgets.set(call.service, retryBudget.onRetry(this.budgetOf(call), allowance, nowMs));
        return (signal: AbortSignal) => this.attempt(call, choice, attempt, signal, { isHedge: true });
    }

    private async attempt(
        call: DispatchedCall,
        choice: RoutableBackend,
        attempt: number,
        signal: AbortSignal,
        { isHedge = false, isLastAttempt = false, isTrial = false }: AttemptKind = {},
    ): Promise<CallResult> {
        const { calls, clock, coldRequestsPerSecond, crashEvidence, onAttempt, statistics, views } = this.options;
        const { instanceId, nodeId } = choice;
        const startedMs = clock.monotonicMs();
        const coldRate = coldRequestsPerSecond?.(call.service);
        const crashRank = crashEvidence.rankOf(call.request.fingerprint ?? "");
        const request: CallRequest = {
            ...call.request,
            ...(coldRate === undefined ? {} : { coldRequestsPerSecond: coldRate }),
            ...(this.options.selector.leavesZone(choice) && { fromOtherZone: true }),
            ...(crashRank > 0 && { crashRank }),
            ...(isTrial && { isTrial }),
            ...(isLastAttempt && { isLastAttempt }),
            instanceId,
            remainingMs: Math.floor(call.deadlineMs - startedMs),
            targetRemainingMs: Math.floor(call.targetAtMs - startedMs),
        };
        views.begin(nodeId, instanceId, startedMs);
        const result = await calls.send(nodeId, choice.address, request, isIdempotent(call.route), signal);
        const endedMs = clock.monotonicMs();
        views.end(nodeId, instanceId, result, endedMs);
        this.learnFrom(call, result);
        statistics.recordAttempt(call.request, result, endedMs - startedMs);
        onAttempt({
            requestId: call.request.requestId,
            route: call.route.name,
            choice,
            result,
            elapsedMs: endedMs - startedMs,
            attempt,
            overdue: !isHedge && signal.aborted && !call.signal.aborted,
        });
        return result;
    }

    /** Takes in what a result says about crashes, so that the next attempt of the request takes it into account. */
    private learnFrom({ request: { fingerprint } }: DispatchedCall, result: CallResult): void {
        const { crashEvidence } = this.options;
        if (result.kind === "unknown" && result.crashReport) {
            crashEvidence.learn(result.crashReport);
        }
        if (result.kind === "answered" && !isServerError(result.answer.status) && fingerprint !== undefined) {
            crashEvidence.recordCompletion(fingerprint);
        }
    }

    /** True if a refusal for this reason would be repeated elsewhere: this node is what doesn't know of the caller. */
    private isFinal(reason: string): boolean {
        return reason === "crashes-backends"
            || (reason === "unconfirmed" && this.options.turns.sincePolledMs > KEEPS_UP_MS);
    }

    private mayRetry(call: DispatchedCall, result: CallResult, sent: number, refusals: number): boolean {
        const { allowance, calls, clock } = this.options;
        const { route, signal } = call;
        const nowMs = clock.monotonicMs();
        const remainingMs = Math.min(call.deadlineMs - nowMs, calls.answerWithinMs ?? Number.POSITIVE_INFINITY);
        if (signal.aborted || remainingMs < MINIMUM_ATTEMPT_MS) {
            return false;
        }
        if (result.kind === "answered" && !isServerError(result.answer.status)) {
            return false;
        }
        if (result.kind === "not-run" ? this.isFinal(result.reason) : !isIdempotent(route)) {
            return false;
        }
        if (sent >= route.maximumAttempts || refusals > this.maximumRefusals(call)) {
            return false;
        }
        return sent === 0 || retryBudget.mayRetry(this.budgetOf(call), allowance, nowMs);
    }
}
