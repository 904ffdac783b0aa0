import { Clock } from "../core/Clock";
import { RandomSource } from "../core/RandomSource";
import { AttemptOutcome } from "./AttemptOutcome";
import { CallContext } from "./CallContext";
import { decideRetry } from "./decideRetry";
import { EndpointTarget } from "./EndpointTarget";
import { EndpointTracker } from "./EndpointTracker";
import { linkAbort } from "./linkAbort";
import { pickEndpoint } from "./pickEndpoint";
import { proxyHeaders } from "./proxyHeaders";
import { RetryBudget } from "./RetryBudget";
import { retryBudgets } from "./retryBudgets";
import { UpstreamClient } from "./UpstreamClient";

type UpstreamResult = Awaited<ReturnType<UpstreamClient["send"]>>;

/** What attempts are made with. */
type RunnerOptions = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly ownZone: string;
    readonly upstream: UpstreamClient;
    readonly tracker: EndpointTracker;
    readonly endpoints: () => ReadonlyMap<string, readonly EndpointTarget[]>;
};

/** How a call ended, and by which backend server. */
type CallResult = {
    readonly result: UpstreamResult;
    readonly memberId: string | undefined;
};

/** The end of a call, and the first failure among its attempts that a later attempt made good. */
type CallEnd = {
    readonly result: UpstreamResult;
    readonly maskedFailure: AttemptOutcome | undefined;
};

const nothingSent: CallResult = { result: { outcome: AttemptOutcome.Unreachable }, memberId: undefined };

const discard = ({ result }: CallResult): void => {
    if ("body" in result) {
        result.body.on("error", () => undefined).destroy();
    }
};

/** Makes the attempts of one call: picks endpoints, retries and hedges within the budget and the deadline. */
export class CallRunner {
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly startedMs: number;

    public constructor(private readonly options: RunnerOptions) {
        this.startedMs = options.clock.monotonicMs();
    }

    public async run(call: CallContext): Promise<CallEnd> {
        this.budgets.set(call.service, retryBudgets.onRequest(this.budgetOf(call)));
        const tried = new Set<string>();
        let maskedFailure: AttemptOutcome | undefined;
        for (let attempts = 1;; attempts += 1) {
            const ended = await this.attemptWithHedge(call, tried, attempts);
            if (!this.mayRetry(call, ended, attempts)) {
                return { result: ended.result, maskedFailure };
            }
            maskedFailure ??= ended.result.outcome;
            discard(ended);
            this.budgets.set(call.service, retryBudgets.spend(this.budgetOf(call)));
        }
    }

    private budgetOf({ service }: CallContext): RetryBudget {
        return this.budgets.get(service) ?? retryBudgets.initial;
    }

    private mayRetry(call: CallContext, { memberId, result }: CallResult, attempts: number): boolean {
        if (memberId === undefined) {
            return false;
        }
        return decideRetry({
            route: call.route,
            outcome: result.outcome,
            attempts,
            repeatableBody: call.body.kind !== "streamed",
            alreadyRetried: call.alreadyRetried,
            remainingMs: call.deadlineMs - this.options.clock.monotonicMs(),
            budget: this.budgetOf(call),
        });
    }

    private attemptWithHedge(call: CallContext, tried: Set<string>, attempts: number): Promise<CallResult> {
        const { hedgeAfterMs, idempotent } = call.route;
        const mayHedge = idempotent && hedgeAfterMs !== undefined && attempts === 1 && !call.alreadyRetried;
        if (!mayHedge || call.body.kind === "streamed") {
            return this.attempt(call, tried, attempts, call.signal);
        }
        return this.raceWithHedge(call, tried, hedgeAfterMs);
    }

    /** Sends a second copy if the first has not answered in time. The first good answer wins; the other is cancelled. */
    private async raceWithHedge(call: CallContext, tried: Set<string>, hedgeAfterMs: number): Promise<CallResult> {
        const links = [linkAbort(call.signal), linkAbort(call.signal)];
        const first = this.attempt(call, tried, 1, links[0].signal);
        const hedge = this.delayedHedge(call, tried, hedgeAfterMs, links[1].signal, first);
        const answered = [first, hedge].map(async (attempt, index) => {
            const ended = await attempt;
            if (ended?.result.outcome !== AttemptOutcome.Answered) {
                throw new Error("this copy has no good answer");
            }
            return { ended, index };
        });
        const winner = await Promise.any(answered).catch(() => undefined);
        if (!winner) {
            links.forEach(({ unlink }) => unlink());
            const hedged = await hedge;
            if (hedged) {
                discard(hedged);
            }
            return first;
        }
        const losing = 1 - winner.index;
        links[losing].abort();
        links[losing].unlink();
        void [first, hedge][losing].then((ended) => ended && discard(ended));
        return winner.ended;
    }

    private async delayedHedge(
        call: CallContext,
        tried: Set<string>,
        delayMs: number,
        signal: AbortSignal,
        first: Promise<CallResult>,
    ): Promise<CallResult | undefined> {
        let timer: NodeJS.Timeout | undefined;
        const delay = new Promise<true>((resolve) => {
            timer = setTimeout(() => resolve(true), delayMs);
        });
        const due = await Promise.race([delay, first.then(() => false as const)]);
        clearTimeout(timer);
        if (!due || signal.aborted || !retryBudgets.canSpend(this.budgetOf(call))) {
            return undefined;
        }
        this.budgets.set(call.service, retryBudgets.spend(this.budgetOf(call)));
        return this.attempt(call, tried, 2, signal);
    }

    private async attempt(
        call: CallContext,
        tried: Set<string>,
        attempts: number,
        signal: AbortSignal,
    ): Promise<CallResult> {
        const { clock, tracker, upstream } = this.options;
        const target = this.pick(call, tried);
        if (!target) {
            return nothingSent;
        }
        tried.add(target.memberId);
        const key = this.keyOf(call, target);
        const startedMs = clock.monotonicMs();
        tracker.begin(key, startedMs);
        const result = await upstream.send({
            address: target.inboundAddress,
            method: call.method,
            path: call.path,
            headers: this.headersOf(call, attempts, startedMs),
            body: this.bodyOf(call),
            signal,
        });
        const end = (outcome: AttemptOutcome): void => {
            const nowMs = clock.monotonicMs();
            tracker.end(key, outcome, nowMs - startedMs, nowMs);
        };
        const ended: CallResult = { result, memberId: target.memberId };
        if ("body" in result) {
            // The backend server's slot stays taken until the body has ended.
            result.body.once("close", () => end(result.outcome));
        }
        else {
            end(result.outcome);
        }
        return ended;
    }

    private pick(call: CallContext, tried: ReadonlySet<string>): EndpointTarget | undefined {
        const { clock, endpoints, ownZone, random, tracker } = this.options;
        const nowMs = clock.monotonicMs();
        return pickEndpoint({
            targets: endpoints().get(`${call.service}/${call.backendVersion}`) ?? [],
            loadOf: (target) => tracker.loadOf(this.keyOf(call, target), nowMs),
            ownZone,
            tried,
            startedMs: this.startedMs,
            nowMs,
            random,
        });
    }

    private keyOf({ backendVersion, service }: CallContext, { memberId }: EndpointTarget): string {
        return `${service}/${backendVersion}/${memberId}`;
    }

    private headersOf(call: CallContext, attempts: number, nowMs: number): Record<string, string | string[]> {
        const headers: Record<string, string | string[]> = {
            ...call.headers,
            [proxyHeaders.service]: call.service,
            [proxyHeaders.backendVersion]: call.backendVersion,
            [proxyHeaders.requestId]: call.requestId,
            [proxyHeaders.serviceClass]: call.class,
            [proxyHeaders.caller]: call.caller,
            [proxyHeaders.deadlineMs]: String(Math.max(0, Math.floor(call.deadlineMs - nowMs))),
        };
        if (attempts > 1 || call.alreadyRetried) {
            headers[proxyHeaders.attempt] = String(attempts);
        }
        return headers;
    }

    private bodyOf({ body }: CallContext): Parameters<UpstreamClient["send"]>[0]["body"] {
        if (body.kind === "held") {
            return body.bytes;
        }
        return body.kind === "streamed" ? body.stream : undefined;
    }
}
