import { MeshService } from "../configuration/MeshService";
import { Clock } from "../core/Clock";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { ageRequest } from "./ageRequest";
import { AnswerDeadline } from "./AnswerDeadline";
import { BackendClient } from "./BackendClient";
import { BackendLoad } from "./BackendLoad";
import { BackendNotice } from "./BackendNotice";
import { BackendQueue } from "./BackendQueue";
import { BackendStatements } from "./BackendStatements";
import { callerPresence } from "./callerPresence";
import { callerServices } from "./callerServices";
import { callerTurn } from "./callerTurn";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { CrashGuard } from "./CrashGuard";
import { crashRefusal } from "./crashRefusal";
import { evacuatedResult } from "./evacuatedResult";
import { HealthCheckClient } from "./HealthCheckClient";
import { LocalBackendLimits } from "./LocalBackendLimits";
import { LocalInstance } from "./LocalInstance";
import { NestedCalls } from "./NestedCalls";
import { OtherZoneAdmission } from "./OtherZoneAdmission";
import { SendingNodes } from "./SendingNodes";
import { slotQueue } from "./slotQueue";
import { unconfirmedResult } from "./unconfirmedResult";
import { updateFailureShare } from "./updateFailureShare";

type LimitOptions = ConstructorParameters<typeof LocalBackendLimits>[0];

/** Dependencies and settings of the receiver. */
type ReceiverOptions = Pick<LimitOptions, "cold" | "onColdChange" | "onHealthCheck"> & {
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "sincePolledMs">;
    readonly client: BackendClient;
    readonly crashGuard: CrashGuard;
    readonly healthChecks: HealthCheckClient;
    readonly nestedCalls: NestedCalls;
    /** For how long a backend server that is draining still gets requests, in ms since it announced that. */
    readonly drainGraceMs: number;
    /** Called when the backend server states a limit or a leaving that differs from what it stated before. */
    readonly onNotice: (instance: LocalInstance, notice: BackendNotice) => void;
    /** Called for each request that is sent to the backend server. */
    readonly onStart: (request: CallRequest) => void;
    /** Called for each request that held a slot. `lateMs` is negative if it ended before its target. */
    readonly onRun: (request: CallRequest, result: CallResult, slotMs: number, lateMs: number) => void;
    /** Called for each request that did not end with a response. */
    readonly onNotServed: (request: CallRequest, result: CallResult, details: QueueDetails) => void;
};

type QueueDetails = {
    readonly waitedMs: number;
    readonly waiting: number;
    readonly active: number;
    readonly slots: number;
    readonly serviceMs: number;
    /** The limit on the rate of requests that holds them back, rather than the slots. */
    readonly limitedBy: "stated" | "cold" | undefined;
};

/** A request that this node has received and not yet finished. */
type ReceivedCall = {
    readonly from: string;
    readonly request: CallRequest;
    readonly arrivedMs: number;
    readonly signal: AbortSignal;
    readonly answerDeadline: AnswerDeadline;
};

/** Reasons for which the limit on the rate of requests may be the cause. */
const limitReasons: ReadonlySet<string> = new Set(["no-room", "expired"]);

const cancelled: CallResult = { kind: "not-run", reason: "cancelled", retryAfterMs: 0 };
const expired: CallResult = { kind: "not-run", reason: "expired", retryAfterMs: 0 };
const stopping: CallResult = { kind: "not-run", reason: "stopping", retryAfterMs: 0 };
const instanceAbsent: CallResult = { kind: "not-run", reason: "not-here", retryAfterMs: 0 };

const noRoom = (retryAfterMs: number): CallResult => ({ kind: "not-run", reason: "no-room", retryAfterMs });

/** Receives requests for the backend server of this host and limits how many run there at a time to its slots. */
export class CallReceiver {
    private readonly activeByNode = new Map<string, number>();
    private readonly sendingNodes = new SendingNodes();
    private readonly statements: BackendStatements;
    private readonly limits: LocalBackendLimits;
    private readonly queue: BackendQueue;
    private readonly otherZones = new OtherZoneAdmission();
    private callers = callerServices.empty;
    private failureShare = 0;
    private lastKey = 0;
    private active = 0;
    /** When this node ends, if it stops. */
    private answerByMs: number | undefined;

    public constructor(private readonly options: ReceiverOptions) {
        this.statements = new BackendStatements(options.drainGraceMs);
        this.limits = new LocalBackendLimits({ ...options, statements: this.statements });
        this.queue = this.limits.queue;
    }

    /** Requests that run or wait here. */
    public get activeCalls(): number {
        return this.active;
    }

    /** Slots of the backend server of this host. */
    public get slots(): number {
        return this.queue.state.slots;
    }

    public get localInstance(): LocalInstance | undefined {
        return this.statements.instance;
    }

    /** The lowest limit on the rate of requests that is in effect, and its reason. */
    public get limitInEffect(): LocalBackendLimits["inEffect"] {
        return this.limits.inEffect;
    }

    /** Applies the services of the configuration in force. */
    public configure(services: readonly MeshService[]): void {
        this.limits.configure(services);
    }

    /**
     * Applies the announced state of this host's backend server, undefined if there is none. A new start resets the
     * failure share and closes idle connections.
     */
    public updateInstance(instance: LocalInstance | undefined): void {
        const { isNew, isNewStart } = this.statements.announce(instance);
        if (isNewStart) {
            this.options.crashGuard.onNewStart();
            this.failureShare = 0;
            this.options.client.closeIdle();
        }
        this.queue.resize(instance?.slots ?? 1);
        if (instance && isNew) {
            this.limits.onAnnounced(instance, isNewStart);
        }
    }

    /** Records what a response of the backend server stated. From the first one that says so, it is draining. */
    public applyNotice(instanceId: string, notice: BackendNotice): void {
        const previousLimit = this.statements.limitPerSecond;
        const isDifferent = this.statements.applyNotice(instanceId, notice, this.nowMs());
        const { instance } = this.statements;
        if (isDifferent === undefined || !instance) {
            return;
        }
        if (notice.limitPerSecond !== previousLimit) {
            this.limits.applyStated(notice.limitPerSecond);
        }
        if (isDifferent) {
            this.options.onNotice(instance, notice);
        }
    }

    /**
     * Sets whether the zone of this host is evacuated. While it is, arriving and waiting requests are refused at once;
     * running requests finish. Returns the number of waiting requests that were refused.
     */
    public updateEvacuation(isEvacuated: boolean): number {
        this.statements.isEvacuated = isEvacuated;
        return isEvacuated ? this.queue.refuseWaiting(evacuatedResult) : 0;
    }

    /** Refuses waiting requests with this fingerprint at once, since backend servers crashed under it. */
    public refuseCrashing(fingerprint: string, retryAfterMs: number): void {
        this.queue.refuseWaiting((requestId) => crashRefusal(requestId, retryAfterMs), fingerprint);
    }

    /**
     * From now on, requests start only if they can be answered within this time, in which this node ends. Those that
     * can't be are refused at once, also if they wait already, so that they can be tried elsewhere.
     */
    public limitAnswers(withinMs: number): void {
        this.answerByMs = this.nowMs() + withinMs;
        this.queue.limitAnswers(this.answerByMs);
    }

    /** Creates the deadline of a request that another node sent, which applies from its arrival on. */
    public createAnswerDeadline({ answerWithinMs }: CallRequest): AnswerDeadline {
        const deadline = new AnswerDeadline(this.options.clock);
        if (answerWithinMs !== undefined) {
            deadline.limitTo(answerWithinMs);
        }
        return deadline;
    }

    /** Runs a request here, or refuses it; a refused request never runs. */
    public async receive(
        from: string,
        request: CallRequest,
        signal: AbortSignal,
        answerDeadline = this.createAnswerDeadline(request),
    ): Promise<CallResult> {
        const call: ReceivedCall = { from, request, arrivedMs: this.nowMs(), signal, answerDeadline };
        this.active += 1;
        this.otherZones.record(from, request, call.arrivedMs);
        this.callers = callerServices.record(this.callers, request.route, request.callerService);
        if (this.limitInEffect) {
            this.sendingNodes.record(from, call.arrivedMs);
        }
        this.activeByNode.set(from, (this.activeByNode.get(from) ?? 0) + 1);
        try {
            const result = await this.admit(call);
            this.reportNotServed(call, result);
            return result;
        }
        finally {
            this.active -= 1;
            this.activeByNode.set(from, (this.activeByNode.get(from) ?? 1) - 1);
        }
    }

    /** Returns the load to report to the given node with the result of a request of the route. */
    public loadFor(node: string, route: string): BackendLoad | undefined {
        const { instance } = this.statements;
        if (!instance) {
            return undefined;
        }
        const { routeServiceMs, serviceMs } = this.queue.state;
        const { coldRemainingMs } = this.limits;
        return {
            ...(coldRemainingMs === undefined ? {} : { coldRemainingMs }),
            instanceId: instance.id,
            bornMs: instance.bornMs,
            isDraining: instance.drainingSinceMs !== undefined,
            total: this.active,
            yours: this.activeByNode.get(node) ?? 0,
            serviceMs,
            routeServiceMs: routeServiceMs.get(route),
            isNested: callerServices.isNested(this.callers, route),
            failureShare: this.failureShare,
            pacingMs: this.limitInEffect && this.queue.pacingMs(this.sendingNodes.count(this.nowMs())),
            ...this.otherZones.stateRoom(node, this.queue.state, this.nowMs()),
        };
    }

    /** Returns why a request would be refused now, or undefined if it would not. Nothing is reserved for it. */
    public refusalOf(
        from: string,
        request: CallRequest,
        answerDeadline = this.createAnswerDeadline(request),
    ): CallResult | undefined {
        const nowMs = this.nowMs();
        if (!this.statements.accepts(request, nowMs)) {
            return this.notAccepted(request);
        }
        if (callerPresence.startWithinMs(request) < 0) {
            return unconfirmedResult(request);
        }
        if (this.isLeftToOthers(request)) {
            return stopping;
        }
        if (this.otherZones.mustRefuse(request, this.queue.state, nowMs)) {
            return noRoom(this.queue.state.serviceMs);
        }
        return this.options.crashGuard.refusalOf(request)
            ?? this.queue.refusalOf(this.toWaiting(from, request, nowMs, this.answerByMsOf(answerDeadline)));
    }

    /** Time left until the response of a request is of use to anybody. */
    public remainingMs({ remainingMs }: CallRequest, answerDeadline: AnswerDeadline): number {
        const answerByMs = this.answerByMsOf(answerDeadline);
        return answerByMs === undefined ? remainingMs : Math.min(remainingMs, answerByMs - this.nowMs());
    }

    /** Expected time that a request takes once it has a slot. */
    public expectedMs({ route }: CallRequest): number {
        const { routeServiceMs, serviceMs } = this.queue.state;
        return routeServiceMs.get(route) ?? serviceMs;
    }

    private nowMs(): number {
        return this.options.clock.monotonicMs();
    }

    private async admit(call: ReceivedCall): Promise<CallResult> {
        const { answerDeadline, arrivedMs, from, request, signal } = call;
        if (!this.statements.accepts(request, arrivedMs)) {
            return this.notAccepted(request);
        }
        if (callerPresence.startWithinMs(request) < 0) {
            return unconfirmedResult(request);
        }
        if (this.isLeftToOthers(request)) {
            return stopping;
        }
        if (this.otherZones.mustRefuse(request, this.queue.state, arrivedMs)) {
            return noRoom(this.queue.state.serviceMs);
        }
        const crashRefused = this.options.crashGuard.refusalOf(request);
        if (crashRefused) {
            return crashRefused;
        }
        this.limits.learnFrom(request);
        const waiting = this.toWaiting(from, request, arrivedMs, this.answerByMsOf(answerDeadline));
        answerDeadline.onLimited((atMs) => this.queue.limitAnswer(waiting.key, atMs));
        const entered = this.queue.enter(waiting, signal);
        // A request that need not wait is sent at once, before other requests or announcements are handled.
        const hasWaited = entered instanceof Promise;
        const refusal = hasWaited ? await entered : entered;
        return refusal ?? this.run(hasWaited ? this.afterWait(call) : call, waiting.deadlineMs);
    }

    /**
     * True if this node stops, nothing tells whether it can still answer the request, and the sender tries it elsewhere. The
     * times of other routes say little about it.
     */
    private isLeftToOthers({ isLastAttempt, route }: CallRequest): boolean {
        return this.answerByMs !== undefined && isLastAttempt !== true && !this.queue.state.routeServiceMs.has(route);
    }

    /** The earlier one of the times at which this node and the sender end. */
    private answerByMsOf({ atMs }: AnswerDeadline): number | undefined {
        return this.answerByMs === undefined ? atMs : Math.min(this.answerByMs, atMs ?? this.answerByMs);
    }

    private toWaiting(from: string, request: CallRequest, arrivedMs: number, answerByMs: number | undefined) {
        const { fingerprint, isLastAttempt, remainingMs, requestId, route, targetRemainingMs } = request;
        const priority = this.otherZones.priorityOf(request);
        const isNested = callerServices.isNested(this.callers, route) === true;
        this.lastKey += 1;
        const targetAtMs = arrivedMs + targetRemainingMs;
        return {
            key: this.lastKey,
            requestId,
            fingerprint,
            route,
            isLastAttempt,
            isLastNested: isLastAttempt && isNested,
            ...(isNested && { turn: callerTurn(from, arrivedMs) }),
            priority,
            arrivedMs,
            targetAtMs,
            deadlineMs: arrivedMs + remainingMs,
            ...(answerByMs !== undefined && { answerByMs }),
        };
    }

    /** The result of a request for which `BackendStatements.accepts` is false. */
    private notAccepted({ requestId }: CallRequest): CallResult {
        return this.statements.isEvacuated ? evacuatedResult(requestId) : instanceAbsent;
    }

    private afterWait(call: ReceivedCall): ReceivedCall {
        return { ...call, request: callerPresence.afterWait(call.request, this.options.turns.sincePolledMs) };
    }

    /** Occupies a slot while the backend server runs the request. */
    private async run(call: ReceivedCall, deadlineMs: number): Promise<CallResult> {
        const { arrivedMs, request, signal } = call;
        const { client, crashGuard, nestedCalls, onRun, onStart } = this.options;
        const endRun = nestedCalls.begin(request.route, request.priority);
        const startedMs = this.nowMs();
        let result: CallResult = signal.aborted ? cancelled : expired;
        const { instance } = this.statements;
        if (callerPresence.startWithinMs(request) < 0) {
            result = unconfirmedResult(request);
        }
        else if (!signal.aborted && deadlineMs > startedMs) {
            const send = (address: string) => {
                onStart(request);
                return client.send(address, request, deadlineMs - startedMs, signal);
            };
            result = instance && this.statements.accepts(request, startedMs)
                ? await crashGuard.run(
                    ageRequest(request, startedMs - arrivedMs),
                    instance,
                    () => send(instance.address),
                )
                : this.notAccepted(request);
        }
        endRun();
        const nowMs = this.nowMs();
        this.failureShare = updateFailureShare(this.failureShare, result);
        this.limits.onResult(result, signal.aborted);
        onRun(request, result, nowMs - startedMs, nowMs - arrivedMs - request.targetRemainingMs);
        const informative = result.kind === "answered" || (result.kind === "unknown" && result.reason === "timed-out");
        this.queue.leave(request.route, informative ? nowMs - startedMs : undefined);
        return result;
    }

    private reportNotServed({ arrivedMs, request }: ReceivedCall, result: CallResult): void {
        if (result.kind === "answered") {
            return;
        }
        const nowMs = this.nowMs();
        const { state } = this.queue;
        const isLimited = limitReasons.has(result.reason) && slotQueue.isLimited(state, nowMs);
        this.options.onNotServed(request, result, {
            waitedMs: Math.round(nowMs - arrivedMs),
            waiting: state.waiting.length,
            active: state.active,
            slots: state.slots,
            serviceMs: Math.round(state.serviceMs),
            limitedBy: isLimited ? this.limitInEffect?.reason : undefined,
        });
    }
}
