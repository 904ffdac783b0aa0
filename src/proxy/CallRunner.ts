import { Clock } from "../core/Clock";
import { RandomSource } from "../core/RandomSource";
import { rankByRendezvous } from "../core/rankByRendezvous";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { CrashReport } from "../crashes/CrashReport";
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
import { withoutHeaders } from "./withoutHeaders";

type UpstreamResult = Awaited<ReturnType<UpstreamClient["send"]>>;

type RunnerOptions = {
    readonly clock: Clock;
    readonly random: RandomSource;
    /** The availability zone of this node. */
    readonly ownZone: string;
    readonly upstream: UpstreamClient;
    readonly tracker: EndpointTracker;
    /** The current endpoints, by "service/backendVersion". */
    readonly endpoints: () => ReadonlyMap<string, readonly EndpointTarget[]>;
    readonly crashEvidence: Pick<CrashEvidenceTask, "learn" | "rankOf" | "recordCompletion" | "verdictOf">;
};

/** The result of one attempt. `memberId` is the member it was sent to, undefined if no endpoint was available. */
type AttemptResult = {
    readonly result: UpstreamResult;
    readonly memberId: string | undefined;
};

/** The result of the last attempt and, if there were retries, the outcome of the first attempt. */
type CallResult = {
    readonly result: UpstreamResult;
    readonly maskedFailure: AttemptOutcome | undefined;
};

const noEndpointAvailable: AttemptResult = { result: { outcome: AttemptOutcome.Unreachable }, memberId: undefined };

const discardBody = ({ result }: AttemptResult): void => {
    if ("body" in result) {
        result.body.on("error", () => undefined).destroy();
    }
};

/** Sends calls to endpoints, with retries and hedged requests within the retry budget and the deadline. */
export class CallRunner {
    private readonly budgets = new Map<string, RetryBudget>();
    private readonly startedMs: number;

    public constructor(private readonly options: RunnerOptions) {
        this.startedMs = options.clock.monotonicMs();
    }

    public async run(call: CallContext): Promise<CallResult> {
        this.budgets.set(call.service, retryBudgets.onRequest(this.budgetOf(call)));
        const triedMemberIds = new Set<string>();
        let maskedFailure: AttemptOutcome | undefined;
        for (let attemptNumber = 1;; attemptNumber += 1) {
            const attemptResult = await this.sendWithHedge(call, triedMemberIds, attemptNumber);
            if (!this.mayRetry(call, attemptResult, attemptNumber)) {
                return { result: attemptResult.result, maskedFailure };
            }
            maskedFailure ??= attemptResult.result.outcome;
            discardBody(attemptResult);
            this.budgets.set(call.service, retryBudgets.spend(this.budgetOf(call)));
        }
    }

    private budgetOf({ service }: CallContext): RetryBudget {
        return this.budgets.get(service) ?? retryBudgets.initial;
    }

    private mayRetry(call: CallContext, { memberId, result }: AttemptResult, attempts: number): boolean {
        const verdict = this.options.crashEvidence.verdictOf(call.fingerprint);
        if (memberId === undefined || verdict.kind === "trial" || verdict.kind === "refused") {
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

    private sendWithHedge(
        call: CallContext,
        triedMemberIds: Set<string>,
        attemptNumber: number,
    ): Promise<AttemptResult> {
        const { hedgeAfterMs, idempotent } = call.route;
        const isFree = this.options.crashEvidence.verdictOf(call.fingerprint).kind === "free";
        const mayHedge = idempotent && hedgeAfterMs !== undefined && attemptNumber === 1 && !call.alreadyRetried
            && isFree;
        if (!mayHedge || call.body.kind === "streamed") {
            return this.sendAttempt(call, triedMemberIds, attemptNumber, call.signal);
        }
        return this.raceAgainstHedge(call, triedMemberIds, hedgeAfterMs);
    }

    /** Sends a hedge if the first attempt has not ended after `hedgeAfterMs`. The first success cancels the other. */
    private async raceAgainstHedge(
        call: CallContext,
        triedMemberIds: Set<string>,
        hedgeAfterMs: number,
    ): Promise<AttemptResult> {
        const linkedAborts = [linkAbort(call.signal), linkAbort(call.signal)];
        const first = this.sendAttempt(call, triedMemberIds, 1, linkedAborts[0].signal);
        const hedge = this.sendHedgeAfterDelay(call, triedMemberIds, hedgeAfterMs, linkedAborts[1].signal, first);
        const answered = [first, hedge].map(async (attempt, index) => {
            const attemptResult = await attempt;
            if (attemptResult?.result.outcome !== AttemptOutcome.Answered) {
                throw new Error("the attempt did not succeed");
            }
            return { attemptResult, index };
        });
        const winner = await Promise.any(answered).catch(() => undefined);
        if (!winner) {
            linkedAborts.forEach(({ unlink }) => unlink());
            const hedgeResult = await hedge;
            if (hedgeResult) {
                discardBody(hedgeResult);
            }
            return first;
        }
        const loserIndex = 1 - winner.index;
        linkedAborts[loserIndex].abort();
        linkedAborts[loserIndex].unlink();
        void [first, hedge][loserIndex].then((loser) => loser && discardBody(loser));
        return winner.attemptResult;
    }

    /** Returns undefined if no hedge was sent. */
    private async sendHedgeAfterDelay(
        call: CallContext,
        triedMemberIds: Set<string>,
        delayMs: number,
        signal: AbortSignal,
        first: Promise<AttemptResult>,
    ): Promise<AttemptResult | undefined> {
        let timer: NodeJS.Timeout | undefined;
        const delayPromise = new Promise<true>((resolve) => {
            timer = setTimeout(() => resolve(true), delayMs);
        });
        const delayElapsed = await Promise.race([delayPromise, first.then(() => false as const)]);
        clearTimeout(timer);
        const isFree = this.options.crashEvidence.verdictOf(call.fingerprint).kind === "free";
        if (!delayElapsed || !isFree || signal.aborted || !retryBudgets.canSpend(this.budgetOf(call))) {
            return undefined;
        }
        this.budgets.set(call.service, retryBudgets.spend(this.budgetOf(call)));
        return this.sendAttempt(call, triedMemberIds, 2, signal);
    }

    /** Sends the request to one endpoint and adds its member to `triedMemberIds`. */
    private async sendAttempt(
        call: CallContext,
        triedMemberIds: Set<string>,
        attemptNumber: number,
        signal: AbortSignal,
    ): Promise<AttemptResult> {
        const { clock, tracker, upstream } = this.options;
        const target = this.pickTarget(call, triedMemberIds);
        if (!target) {
            return noEndpointAvailable;
        }
        triedMemberIds.add(target.memberId);
        const key = this.keyOf(call, target);
        const startedMs = clock.monotonicMs();
        tracker.begin(key, startedMs);
        const received = await upstream.send({
            address: target.inboundAddress,
            method: call.method,
            path: call.path,
            headers: this.buildHeaders(call, attemptNumber, startedMs),
            body: this.bodyOf(call),
            signal,
        });
        const result = this.learnFrom(call, received);
        const recordEnd = (outcome: AttemptOutcome): void => {
            const nowMs = clock.monotonicMs();
            tracker.end(key, outcome, nowMs - startedMs, nowMs);
        };
        const attemptResult: AttemptResult = { result, memberId: target.memberId };
        if ("body" in result) {
            // The request is outstanding while it occupies a slot of the backend server: until the response body ends.
            result.body.once("close", () => recordEnd(result.outcome));
        }
        else {
            recordEnd(result.outcome);
        }
        return attemptResult;
    }

    /** Takes in what a response says about crashes, so that the next attempt takes it into account, and removes it. */
    private learnFrom({ fingerprint }: CallContext, result: UpstreamResult): UpstreamResult {
        const { crashEvidence } = this.options;
        const report = "headers" in result ? result.headers[proxyHeaders.crashReport] : undefined;
        if (typeof report === "string") {
            crashEvidence.learn(JSON.parse(Buffer.from(report, "base64").toString()) as CrashReport);
        }
        if (result.outcome === AttemptOutcome.Answered && fingerprint !== undefined) {
            crashEvidence.recordCompletion(fingerprint);
        }
        return "headers" in result
            ? { ...result, headers: withoutHeaders(result.headers, [proxyHeaders.crashReport]) }
            : result;
    }

    private isTrial({ fingerprint }: CallContext): boolean {
        return this.options.crashEvidence.verdictOf(fingerprint).kind === "trial";
    }

    private pickTarget(call: CallContext, triedMemberIds: ReadonlySet<string>): EndpointTarget | undefined {
        const { clock, endpoints, ownZone, random, tracker } = this.options;
        const nowMs = clock.monotonicMs();
        const targets = endpoints().get(`${call.service}/${call.backendVersion}`) ?? [];
        if (this.isTrial(call)) {
            // All nodes choose the same one, so that no other trial of the request runs elsewhere.
            const [first] = rankByRendezvous(call.fingerprint ?? "", targets.map(({ memberId }) => memberId));
            return targets.find(({ memberId }) => memberId === first);
        }
        return pickEndpoint({
            targets,
            loadOf: (target) => tracker.loadOf(this.keyOf(call, target), nowMs),
            ownZone,
            triedMemberIds,
            startedMs: this.startedMs,
            nowMs,
            random,
        });
    }

    private keyOf({ backendVersion, service }: CallContext, { memberId }: EndpointTarget): string {
        return `${service}/${backendVersion}/${memberId}`;
    }

    private buildHeaders(call: CallContext, attemptNumber: number, nowMs: number): Record<string, string | string[]> {
        const headers: Record<string, string | string[]> = {
            ...call.headers,
            [proxyHeaders.service]: call.service,
            [proxyHeaders.backendVersion]: call.backendVersion,
            [proxyHeaders.requestId]: call.requestId,
            [proxyHeaders.serviceClass]: call.class,
            [proxyHeaders.caller]: call.caller,
            [proxyHeaders.deadlineMs]: String(Math.max(0, Math.floor(call.deadlineMs - nowMs))),
        };
        if (attemptNumber > 1 || call.alreadyRetried) {
            headers[proxyHeaders.attempt] = String(attemptNumber);
        }
        if (call.fingerprint !== undefined) {
            headers[proxyHeaders.fingerprint] = call.fingerprint;
            headers[proxyHeaders.crashRank] = String(this.options.crashEvidence.rankOf(call.fingerprint));
        }
        if (this.isTrial(call)) {
            headers[proxyHeaders.trial] = "1";
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
