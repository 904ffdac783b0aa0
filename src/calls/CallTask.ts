import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { Channel } from "../transport/Channel";
import { PeerNetwork } from "../transport/PeerNetwork";
import { BackendLoad } from "./BackendLoad";
import { BodyReceiver } from "./BodyReceiver";
import { callerPresence } from "./callerPresence";
import { CallMessage } from "./CallMessage";
import { CallReceiver } from "./CallReceiver";
import { CallRequest } from "./CallRequest";
import { CallResult } from "./CallResult";
import { linkResults } from "./linkResults";
import { NodeLinks } from "./NodeLinks";
import { OutstandingRequest } from "./OutstandingRequest";
import { ReceivedRequests } from "./ReceivedRequests";
import { SentRequests } from "./SentRequests";
import { unconfirmedResult } from "./unconfirmedResult";

/** Dependencies of the exchange of requests between nodes. */
type CallTaskOptions = {
    readonly ownId: string;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly turns: Pick<EventLoopTurns, "settle" | "sincePolledMs" | "unreadMs">;
    readonly receiver: CallReceiver;
    readonly bodyReceiver: BodyReceiver;
    /** Called with the time for which a request from another node was under way. */
    readonly onReceived: (from: string, request: CallRequest, ageMs: number) => void;
    /** Called with the load that a node reports with the result of a request of the route. */
    readonly onLoad: (nodeId: string, load: BackendLoad, route: string) => void;
};

/**
 * Sends requests to the nodes on the hosts of backend servers, and runs the requests that other nodes send to this one.
 */
export class CallTask implements Disposable {
    private readonly links: NodeLinks;
    private readonly sent: SentRequests;
    /** When this process ends, by `performance.now()`, if it stops. */
    private answerByMs: number | undefined;

    public constructor(private readonly options: CallTaskOptions) {
        const received = new ReceivedRequests(options);
        options.network.handle(Channel.Calls, {
            onMessage: (remote, body) => {
                const send = (message: CallMessage): void => void remote.send(message);
                return received.serve(remote, remote.identity, send, body as CallMessage);
            },
            onClose: (remote) => received.cancelAll(remote),
        });
        this.links = new NodeLinks({
            network: options.network,
            onMessage: (nodeId, outstanding, message) => this.onResult(nodeId, outstanding, message),
        });
        this.sent = new SentRequests((nodeLink) => this.links.disposeRetired(nodeLink));
    }

    /** Time left until this process ends; undefined unless it stops. */
    public get answerWithinMs(): number | undefined {
        return this.answerByMs === undefined ? undefined : Math.max(0, this.answerByMs - performance.now());
    }

    /** Requests at other nodes that have no result yet. */
    public get outstandingRequests(): number {
        return this.links.outstandingRequests;
    }

    /**
     * From now on, no request starts here or at other nodes unless it can be answered within this time, in which this
     * process ends. The nodes at which requests wait decide that: what they refuse has not run.
     */
    public limitAnswers(withinMs: number): void {
        this.answerByMs = performance.now() + withinMs;
        this.options.receiver.limitAnswers(withinMs);
        this.links.limitAnswers(withinMs);
    }

    /** Makes one attempt at a request at the given node. It never retries. */
    public async send(
        nodeId: string,
        address: string,
        request: CallRequest,
        idempotent: boolean,
        signal: AbortSignal,
    ): Promise<CallResult> {
        if (nodeId === this.options.ownId) {
            const unconfirmedMs = Math.ceil(this.options.turns.sincePolledMs);
            const result = await this.options.receiver.receive(nodeId, { ...request, unconfirmedMs }, signal);
            this.reportLoad(nodeId, this.options.receiver.loadFor(nodeId, request.route), request.route);
            return result;
        }
        const startedAtMs = performance.now();
        const mustWait = !this.links.isReady(address, idempotent);
        const nodeLink = await this.links.open(address, idempotent);
        if (!nodeLink) {
            return linkResults.down;
        }
        if (mustWait) {
            await this.options.turns.settle();
        }
        if (signal.aborted) {
            return { kind: "not-run", reason: "cancelled", retryAfterMs: 0 };
        }
        const waitedMs = Math.ceil(performance.now() - startedAtMs);
        const remainingMs = request.remainingMs - waitedMs;
        if (remainingMs <= 0) {
            return { kind: "not-run", reason: "expired", retryAfterMs: 0 };
        }
        const targetRemainingMs = request.targetRemainingMs - waitedMs;
        const { answerWithinMs } = this;
        if (answerWithinMs === 0) {
            return { kind: "not-run", reason: "stopping", retryAfterMs: 0 };
        }
        const sentRequest: CallRequest = {
            ...request,
            ...(answerWithinMs !== undefined && { answerWithinMs }),
            unconfirmedMs: Math.ceil(this.options.turns.sincePolledMs),
            remainingMs,
            targetRemainingMs,
        };
        return callerPresence.startWithinMs(sentRequest) < 0
            ? unconfirmedResult(sentRequest)
            : this.sent.exchange(nodeLink, sentRequest, idempotent, signal);
    }

    /** See `NodeLinks.updateMembers`. */
    public updateMembers(incarnations: ReadonlyMap<string, number>): void {
        this.links.updateMembers(incarnations);
    }

    public dispose(): Promise<void> {
        return this.links.dispose();
    }

    private onResult(nodeId: string, outstanding: ReadonlyMap<number, OutstandingRequest>, message: CallMessage): void {
        if (message.kind === "credit") {
            outstanding.get(message.number)?.bodySender?.addCredit(message.bytes);
            return;
        }
        if (message.kind !== "result") {
            return;
        }
        const request = outstanding.get(message.number);
        this.reportLoad(nodeId, message.load, request?.route ?? "");
        request?.settle(message.result);
    }

    private reportLoad(nodeId: string, load: BackendLoad | undefined, route: string): void {
        if (load) {
            this.options.onLoad(nodeId, load, route);
        }
    }
}
