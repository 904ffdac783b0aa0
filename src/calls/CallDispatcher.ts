import { MeshRoute } from "../configuration/MeshRoute";
import { Clock } from "../core/Clock";
import { RandomSource } from "../core/RandomSource";
import { BackendChoice } from "./BackendChoice";
import { BackendViews } from "./BackendViews";
import { CallOrder } from "./CallOrder";
import { CallResult } from "./CallResult";
import { CallTask } from "./CallTask";
import { isServerError } from "./isServerError";
import { latencyEstimates } from "./latencyEstimates";
import { pickBackend } from "./pickBackend";
import { raceWithHedge } from "./raceWithHedge";
import { repeatBudget } from "./repeatBudget";
import { ZonedChoices } from "./ZonedChoices";

/** What attempts are made with. */
type DispatcherOptions = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly calls: CallTask;
    readonly views: BackendViews;
    /** The backend servers that may run a request of the service now. */
    readonly choices: (service: string) => ZonedChoices;
    readonly allowance: Parameters<typeof repeatBudget.mayRepeat>[1];
    readonly onAttempt: (attempt: EndedAttempt) => void;
};

/** An attempt as the judgement of versions and the log see it. */
type EndedAttempt = {
    readonly requestId: string;
    readonly route: string;
    readonly choice: BackendChoice;
    readonly result: CallResult;
    readonly elapsedMs: number;
    readonly attempt: number;
    /** Given up because its answer was overdue and another attempt was answered. */
    readonly overdue: boolean;
};

/** How an attempt and its hedge ended. */
type EndedRace = {
    readonly result: CallResult;
    readonly hedges: number;
};

/** A request that is to be served. */
type DispatchedCall = {
    readonly route: MeshRoute;
    readonly service: string;
    readonly order: Omit<CallOrder, "instanceId" | "remainingMs" | "targetRemainingMs">;
    /** On the steady clock: answers after this are late. */
    readonly targetAtMs: number;
    /** On the steady clock. */
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
};

/** Nodes that may refuse a request before the caller is refused. */
const MAXIMUM_REFUSALS = 2;

/** Weight of a new sample in the moving average of a route's bytes: about the last 20 requests count. */
const BYTES_WEIGHT = 0.05;

/** With less time than this another attempt can't be answered: two hops and the shortest work. */
const MINIMUM_ATTEMPT_MS = 15;

/** Callers come back after this time when no backend server is known at all: one announcement may be under way. */
const NO_BACKEND_RETRY_AFTER_MS = 300;

/** Makes the attempts of a request within the route's limits, the budget of repetitions and the deadline. */
export class CallDispatcher {
    private readonly latencies = new Map<string, Parameters<typeof latencyEstimates.note>[0]>();
    private readonly usualBytes = new Map<string, number>();
    private readonly budgets = new Map<string, typeof repeatBudget.empty>();

    public constructor(private readonly options: DispatcherOptions) {}

    public async dispatch(call: DispatchedCall): Promise<CallResult> {
        const { allowance, clock } = this.options;
        this.budgets.set(call.service, repeatBudget.onRequest(this.budgetOf(call), allowance, clock.monotonicMs()));
        const tried = new Set<string>();
        let sent = 0;
        let refusals = 0;
        let last: CallResult = { kind: "not-run", reason: "no-room", retryAfterMs: NO_BACKEND_RETRY_AFTER_MS };
        let mayHaveRun: CallResult | undefined;
        for (;;) {
            const choice = this.pick(call, tried);
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
            refusals += reached ? 0 : 1;
            if (!this.mayRepeat(call, last, sent, refusals)) {
                return mayHaveRun ?? last;
            }
            if (sent > 0) {
                this.budgets.set(
                    call.service,
                    repeatBudget.onRepeat(this.budgetOf(call), allowance, clock.monotonicMs()),
                );
            }
        }
    }

    /** Forgets what was learned of routes that are gone. */
    public keepOnly(routes: ReadonlySet<string>): void {
        for (const learned of [this.latencies, this.usualBytes]) {
            [...learned.keys()].filter((name) => !routes.has(name)).forEach((name) => learned.delete(name));
        }
    }

    private budgetOf({ service }: DispatchedCall): typeof repeatBudget.empty {
        return this.budgets.get(service) ?? repeatBudget.empty;
    }

    private pick(
        { route, service, targetAtMs }: DispatchedCall,
        tried: ReadonlySet<string>,
    ): BackendChoice | undefined {
        const { choices, clock, random, views } = this.options;
        const nowMs = clock.monotonicMs();
        return pickBackend({
            choices: choices(service),
            viewOf: (choice) => views.viewOf(choice),
            tried,
            nowMs,
            targetRemainingMs: targetAtMs - nowMs,
            usualBytes: this.usualBytes.get(route.name) ?? 0,
            random,
        });
    }

    /** Makes an attempt, and a second one elsewhere if the answer is overdue. The first good answer wins. */
    private async attemptWithHedge(
        call: DispatchedCall,
        choice: BackendChoice,
        tried: Set<string>,
        attempt: number,
    ): Promise<EndedRace> {
        const delayMs = latencyEstimates.hedgeDelayMs(this.latencies.get(call.route.name));
        const mayHedge = call.route.idempotent && attempt < call.route.maximumAttempts;
        if (!mayHedge || delayMs === undefined) {
            return { result: await this.attempt(call, choice, attempt, call.signal), hedges: 0 };
        }
        const { hedged, result } = await raceWithHedge({
            first: (signal) => this.attempt(call, choice, attempt, signal),
            chooseSecond: () => this.chooseHedge(call, tried, attempt + 1),
            delayMs,
            signal: call.signal,
        });
        return { result, hedges: hedged ? 1 : 0 };
    }

    /** A second attempt where there is room at once, if the budget of repetitions allows it. */
    private chooseHedge(call: DispatchedCall, tried: Set<string>, attempt: number) {
        const { allowance, clock, views } = this.options;
        const nowMs = clock.monotonicMs();
        const choice = this.pick(call, tried);
        const isFree = choice && views.viewOf(choice).outstanding + views.viewOf(choice).others < choice.slots;
        if (!choice || !isFree || !repeatBudget.mayRepeat(this.budgetOf(call), allowance, nowMs)) {
            return undefined;
        }
        tried.add(choice.nodeId);
        this.budgets.set(call.service, repeatBudget.onRepeat(this.budgetOf(call), allowance, nowMs));
        return (signal: AbortSignal) => this.attempt(call, choice, attempt, signal);
    }

    private async attempt(
        call: DispatchedCall,
        choice: BackendChoice,
        attempt: number,
        signal: AbortSignal,
    ): Promise<CallResult> {
        const { calls, clock, onAttempt, views } = this.options;
        const { instanceId, nodeId } = choice;
        const startedMs = clock.monotonicMs();
        const order: CallOrder = {
            ...call.order,
            instanceId,
            remainingMs: Math.floor(call.deadlineMs - startedMs),
            targetRemainingMs: Math.floor(call.targetAtMs - startedMs),
        };
        views.begin(nodeId, instanceId);
        const result = await calls.send(nodeId, choice.address, order, call.route.idempotent, signal);
        const endedMs = clock.monotonicMs();
        views.end(nodeId, instanceId, result, endedMs);
        this.noteBytes(call, result);
        this.noteLatency(call, result, endedMs - startedMs);
        onAttempt({
            requestId: call.order.requestId,
            route: call.route.name,
            choice,
            result,
            elapsedMs: endedMs - startedMs,
            attempt,
            overdue: signal.aborted && !call.signal.aborted,
        });
        return result;
    }

    private noteBytes({ order, route }: DispatchedCall, result: CallResult): void {
        if (result.kind !== "answered") {
            return;
        }
        const bytes = order.body.length + result.answer.body.length;
        const usual = this.usualBytes.get(route.name) ?? bytes;
        this.usualBytes.set(route.name, usual + BYTES_WEIGHT * (bytes - usual));
    }

    private noteLatency({ route }: DispatchedCall, result: CallResult, elapsedMs: number): void {
        if (result.kind === "answered") {
            this.latencies.set(route.name, latencyEstimates.note(this.latencies.get(route.name), elapsedMs));
        }
    }

    private mayRepeat(call: DispatchedCall, result: CallResult, sent: number, refusals: number): boolean {
        const { allowance, clock } = this.options;
        const { route, signal } = call;
        const nowMs = clock.monotonicMs();
        if (signal.aborted || call.deadlineMs - nowMs < MINIMUM_ATTEMPT_MS) {
            return false;
        }
        if (result.kind === "answered" && !isServerError(result.answer.status)) {
            return false;
        }
        if (result.kind !== "not-run" && !route.idempotent) {
            return false;
        }
        if (sent >= route.maximumAttempts || refusals > MAXIMUM_REFUSALS) {
            return false;
        }
        return sent === 0 || repeatBudget.mayRepeat(this.budgetOf(call), allowance, nowMs);
    }
}
