import { MeshRoute } from "../configuration/MeshRoute";
import { Clock } from "../core/Clock";
import { RandomSource } from "../core/RandomSource";
import { BackendViews } from "./BackendViews";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { CallTask } from "./CallTask";
import { isIdempotent } from "./isIdempotent";
import { isServerError } from "./isServerError";
import { latencyEstimates } from "./latencyEstimates";
import { pickBackend } from "./pickBackend";
import { raceWithHedge } from "./raceWithHedge";
import { retryBudget } from "./retryBudget";
import { RoutableBackend } from "./RoutableBackend";
import { ZonedBackends } from "./ZonedBackends";

/** Dependencies and settings of the dispatcher. */
type DispatcherOptions = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly calls: CallTask;
    readonly views: BackendViews;
    /** Returns the backend servers that may run a request of the service now. */
    readonly backendsOf: (service: string) => ZonedBackends;
    readonly allowance: Parameters<typeof retryBudget.mayRetry>[1];
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

/** How many attempts of one request may fail without reaching a backend server; after one more it is not retried. */
const MAXIMUM_REFUSALS = 2;

/** How many attempts may fail because the link to the node is down. They cost little time and none of the slots. */
const MAXIMUM_LINK_FAILURES = 6;

/** Weight of a new sample in the moving average of a route's bytes: about the last 20 requests count. */
const BYTES_WEIGHT = 0.05;

/** Weight of a new report in the moving average of a route's service time. */
const SERVICE_TIME_WEIGHT = 0.1;

/** Two hops and the shortest work take this long: with less time left another attempt can't be answered. */
const MINIMUM_ATTEMPT_MS = 15;

/** Retry-after time if no backend server is known for a service: an announcement may be on its way. */
const NO_BACKEND_RETRY_AFTER_MS = 300;

/** Approximate size of headers on the wire. */
const headBytes = (headers: readonly string[]): number => headers.reduce((sum, { length }) => sum + length + 2, 0);

/** Makes the attempts of a request within the route's limits, the retry budget and the deadline. */
export class CallDispatcher {
    private readonly latencies = new Map<string, Parameters<typeof latencyEstimates.record>[0]>();
    private readonly averageBytes = new Map<string, number>();
    /** How long requests of a route run at its backend servers, without waiting. */
    private readonly serviceTimes = new Map<string, number>();
    private readonly budgets = new Map<string, typeof retryBudget.empty>();

    public constructor(private readonly options: DispatcherOptions) {}

    public async dispatch(call: DispatchedCall): Promise<CallResult> {
        const { allowance, clock } = this.options;
        this.budgets.set(call.service, retryBudget.onRequest(this.budgetOf(call), allowance, clock.monotonicMs()));
        const tried = new Set<string>();
        let sent = 0;
        let refusals = 0;
        let linkFailures = 0;
        let last: CallResult = { kind: "not-run", reason: "no-room", retryAfterMs: NO_BACKEND_RETRY_AFTER_MS };
        let mayHaveRun: CallResult | undefined;
        for (;;) {
            const choice = this.pickUntried(call, tried);
            if (!choice) {
                return mayHaveRun ?? last;
            }
            tried.add(choice.nodeId);
            const ended = await this.attemptWithHedge(call, choice, tried, sent + 1);
            last = ended.result;
            sent += ended.hedges;
            mayHaveRun = last.kind === "not-run" ? mayHaveRun : last;
            const reached = last.kind !== "not-run" || last.reason === "shed";
            sent += reached ? 1 : 0;
            const isLinkDown = last.kind === "not-run" && last.reason === "link-down";
            linkFailures += isLinkDown ? 1 : 0;
            refusals += reached || isLinkDown ? 0 : 1;
            if (linkFailures > MAXIMUM_LINK_FAILURES || !this.mayRetry(call, last, sent, refusals)) {
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

    /** Removes the statistics of routes that no longer exist. */
    public keepOnly(routes: ReadonlySet<string>): void {
        for (const byRoute of [this.latencies, this.averageBytes, this.serviceTimes]) {
            [...byRoute.keys()].filter((name) => !routes.has(name)).forEach((name) => byRoute.delete(name));
        }
    }

    /** Records how long requests of the route run at a backend server, as that server's node reports it. */
    public recordServiceTime(route: string, serviceMs: number): void {
        const average = this.serviceTimes.get(route) ?? serviceMs;
        this.serviceTimes.set(route, average + SERVICE_TIME_WEIGHT * (serviceMs - average));
    }

    private budgetOf({ service }: DispatchedCall): typeof retryBudget.empty {
        return this.budgets.get(service) ?? retryBudget.empty;
    }

    private pickUntried(
        { route, service, targetAtMs }: DispatchedCall,
        tried: ReadonlySet<string>,
    ): RoutableBackend | undefined {
        const { backendsOf, clock, random, views } = this.options;
        const nowMs = clock.monotonicMs();
        return pickBackend({
            backends: backendsOf(service),
            viewOf: (choice) => views.viewOf(choice),
            tried,
            nowMs,
            targetRemainingMs: targetAtMs - nowMs,
            averageBytes: this.averageBytes.get(route.name) ?? 0,
            routeServiceMs: this.serviceTimes.get(route.name),
            random,
        });
    }

    /** Makes an attempt, and a second one at another node if the response is overdue. The first success wins. */
    private async attemptWithHedge(
        call: DispatchedCall,
        choice: RoutableBackend,
        tried: Set<string>,
        attempt: number,
    ): Promise<HedgedResult> {
        const delayMs = latencyEstimates.hedgeDelayMs(this.latencies.get(call.route.name));
        const mayHedge = isIdempotent(call.route) && attempt < call.route.maximumAttempts;
        if (!mayHedge || delayMs === undefined) {
            return { result: await this.attempt(call, choice, attempt, call.signal, false), hedges: 0 };
        }
        const { hedged, result } = await raceWithHedge({
            first: (signal) => this.attempt(call, choice, attempt, signal, false),
            chooseSecond: () => this.chooseHedge(call, tried, attempt + 1),
            delayMs,
            signal: call.signal,
        });
        return { result, hedges: hedged ? 1 : 0 };
    }

    /** Returns a second attempt if a backend server has a free slot and the retry budget allows it. */
    private chooseHedge(call: DispatchedCall, tried: Set<string>, attempt: number) {
        const { allowance, clock, views } = this.options;
        const nowMs = clock.monotonicMs();
        const choice = this.pickUntried(call, tried);
        const isFree = choice && views.viewOf(choice).outstanding + views.viewOf(choice).fromOtherNodes < choice.slots;
        if (!choice || !isFree || !retryBudget.mayRetry(this.budgetOf(call), allowance, nowMs)) {
            return undefined;
        }
        tried.add(choice.nodeId);
        this.budgets.set(call.service, retryBudget.onRetry(this.budgetOf(call), allowance, nowMs));
        return (signal: AbortSignal) => this.attempt(call, choice, attempt, signal, true);
    }

    private async attempt(
        call: DispatchedCall,
        choice: RoutableBackend,
        attempt: number,
        signal: AbortSignal,
        isHedge: boolean,
    ): Promise<CallResult> {
        const { calls, clock, onAttempt, views } = this.options;
        const { instanceId, nodeId } = choice;
        const startedMs = clock.monotonicMs();
        const request: CallRequest = {
            ...call.request,
            instanceId,
            remainingMs: Math.floor(call.deadlineMs - startedMs),
            targetRemainingMs: Math.floor(call.targetAtMs - startedMs),
        };
        views.begin(nodeId, instanceId, startedMs);
        const result = await calls.send(nodeId, choice.address, request, isIdempotent(call.route), signal);
        const endedMs = clock.monotonicMs();
        views.end(nodeId, instanceId, result, endedMs);
        this.recordBytes(call, result);
        this.recordLatency(call, result, endedMs - startedMs);
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

    private recordBytes({ request, route }: DispatchedCall, result: CallResult): void {
        if (result.kind !== "answered") {
            return;
        }
        const heads = headBytes(request.headers) + headBytes(result.answer.headers);
        const bytes = heads + request.body.length + result.answer.body.length;
        const average = this.averageBytes.get(route.name) ?? bytes;
        this.averageBytes.set(route.name, average + BYTES_WEIGHT * (bytes - average));
    }

    private recordLatency({ route }: DispatchedCall, result: CallResult, elapsedMs: number): void {
        if (result.kind === "answered") {
            this.latencies.set(route.name, latencyEstimates.record(this.latencies.get(route.name), elapsedMs));
        }
    }

    private mayRetry(call: DispatchedCall, result: CallResult, sent: number, refusals: number): boolean {
        const { allowance, clock } = this.options;
        const { route, signal } = call;
        const nowMs = clock.monotonicMs();
        if (signal.aborted || call.deadlineMs - nowMs < MINIMUM_ATTEMPT_MS) {
            return false;
        }
        if (result.kind === "answered" && !isServerError(result.answer.status)) {
            return false;
        }
        if (result.kind !== "not-run" && !isIdempotent(route)) {
            return false;
        }
        if (sent >= route.maximumAttempts || refusals > MAXIMUM_REFUSALS) {
            return false;
        }
        return sent === 0 || retryBudget.mayRetry(this.budgetOf(call), allowance, nowMs);
    }
}
