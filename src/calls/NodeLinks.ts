import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";
import { CallMessage } from "./CallMessage";
import { failureOf } from "./failureOf";
import { linkResults } from "./linkResults";
import { NodeLink } from "./NodeLink";
import { OutstandingRequest } from "./OutstandingRequest";

/** Dependencies of the links. */
type NodeLinksOptions = {
    readonly network: PeerNetwork;
    /** Called with each message that arrives on a link. */
    readonly onMessage: (nodeId: string, outstanding: NodeLink["outstanding"], message: CallMessage) => void;
};

/** A link is closed after this long without a request. */
const LINK_IDLE_TIMEOUT_MS = 60_000;

/** Interval of the check for links that have stopped responding. */
const LIVENESS_CHECK_INTERVAL_MS = 100;

/** A ping is sent on a link on which requests wait and no message has arrived for this long. */
const PING_AFTER_MS = 250;

/**
 * A link on which a message arrived within this time counts as alive. On any other link a request that is not
 * idempotent is sent only after a ping was answered, since the link may have stopped responding while it was idle. The
 * ping costs a round trip, which links in constant use are spared.
 */
const ASSUMED_ALIVE_MS = 1_000;

/**
 * While a ping is unanswered for this long, a link gets no new requests: another node is tried at once. It costs little
 * if the node is only busy.
 */
const SUSPECT_AFTER_MS = 400;

/** Idempotent requests on a link fail, so that they can be retried in time, if a ping is not answered for this long. */
const IDEMPOTENT_PONG_TIMEOUT_MS = 400;

/** A link has stopped responding if a ping is not answered within this time: far longer than a busy node usually pauses. */
const PONG_TIMEOUT_MS = 600;

/**
 * Interval of heartbeats on links between nodes. Each node has links to all others, so a heartbeat each second would
 * cost processor time that grows with the mesh. Pings detect a link in use that stops responding, and membership
 * reports dead members.
 */
const HEARTBEAT_INTERVAL_MS = 20_000;

/** How long a request waits for a link to open before another node is tried: several round trips within a region. */
const OPEN_TIMEOUT_MS = 250;

/** The links to other nodes on which requests are sent, and whether the nodes respond. */
export class NodeLinks implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly links = new Map<string, NodeLink>();
    /** Links that have stopped responding, on which requests that are not idempotent still wait for their results. */
    private readonly retired = new Set<NodeLink>();
    /** The incarnation (start of the process) of the node at each address. */
    private incarnations: ReadonlyMap<string, number> = new Map();

    public constructor(private readonly options: NodeLinksOptions) {
        this.resources.every(LINK_IDLE_TIMEOUT_MS / 4, () => this.closeUnused());
        this.resources.every(
            LIVENESS_CHECK_INTERVAL_MS,
            () => this.links.forEach((link, address) => this.checkLiveness(address, link)),
        );
        this.resources.add({ dispose: () => this.links.forEach(({ link }) => link.dispose()) });
        this.resources.add({ dispose: () => this.retired.forEach(({ link }) => link.dispose()) });
    }

    /** Returns the link to a node once it is open and, for a request that is not idempotent, confirmed to be alive. */
    public async open(address: string, idempotent: boolean): Promise<NodeLink | undefined> {
        const existing = this.linkTo(address);
        if (existing?.pingedAtMs !== undefined && performance.now() - existing.pingedAtMs >= SUSPECT_AFTER_MS) {
            return undefined;
        }
        if (!existing || !(await existing.link.waitUntilOpen(OPEN_TIMEOUT_MS))) {
            return undefined;
        }
        if (idempotent || await this.confirmAlive(existing)) {
            return existing;
        }
        this.retire(address, existing);
        const replacement = this.linkTo(address);
        return replacement && await replacement.link.waitUntilOpen(OPEN_TIMEOUT_MS) ? replacement : undefined;
    }

    /** True if `open` returns the link to the node at an address without waiting. */
    public isReady(address: string, idempotent: boolean): boolean {
        const known = this.links.get(address);
        return known?.link.isOpen() === true && (idempotent || this.isAssumedAlive(known));
    }

    /** Requests that wait for results. */
    public get outstandingRequests(): number {
        return this.allLinks.reduce((sum, { outstanding }) => sum + outstanding.size, 0);
    }

    /** Tells the nodes at which requests wait that this one ends in this time. */
    public limitAnswers(withinMs: number): void {
        for (const { outstanding } of this.allLinks) {
            [...outstanding.values()].forEach((request) => request.limitAnswer(withinMs));
        }
    }

    /** Closes a link that has stopped responding once no request waits on it. */
    public disposeRetired(nodeLink: NodeLink): void {
        if (this.retired.has(nodeLink) && nodeLink.outstanding.size === 0) {
            this.retired.delete(nodeLink);
            nodeLink.link.dispose();
        }
    }

    /**
     * Closes idle links to processes that have ended or restarted. A link to a host that lost its power is not closed
     * by its other end, and the next request on it would be lost.
     * @param incarnations of the current members, by their address
     */
    public updateMembers(incarnations: ReadonlyMap<string, number>): void {
        const previous = this.incarnations;
        this.incarnations = incarnations;
        for (const [address, { link, outstanding }] of this.links) {
            const isSame = previous.get(address) === incarnations.get(address);
            if (!isSame && outstanding.size === 0) {
                this.links.delete(address);
                link.dispose();
            }
        }
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private get allLinks(): readonly NodeLink[] {
        return [...this.links.values(), ...this.retired];
    }

    private isAssumedAlive({ lastReceivedAtMs }: NodeLink): boolean {
        return performance.now() - lastReceivedAtMs < ASSUMED_ALIVE_MS;
    }

    private confirmAlive(nodeLink: NodeLink): Promise<boolean> {
        const { link, livenessWaiters } = nodeLink;
        if (this.isAssumedAlive(nodeLink)) {
            return Promise.resolve(true);
        }
        link.send({ kind: "ping" } satisfies CallMessage);
        return new Promise((resolve) => {
            const finish = (isAlive: boolean): void => {
                clearTimeout(timer);
                livenessWaiters.delete(finish);
                resolve(isAlive);
            };
            const timer = setTimeout(() => finish(false), PONG_TIMEOUT_MS);
            livenessWaiters.add(finish);
        });
    }

    private linkTo(text: string): NodeLink | undefined {
        const existing = this.links.get(text);
        const address = parseAddress(text);
        if (existing || !address) {
            return existing;
        }
        const outstanding = new Map<number, OutstandingRequest>();
        const link = this.options.network.open(Channel.Calls, address, {
            heartbeatMs: HEARTBEAT_INTERVAL_MS,
            onOpen: () => {
                opened.lastReceivedAtMs = performance.now();
            },
            onMessage: (body) => {
                opened.lastReceivedAtMs = performance.now();
                opened.pingedAtMs = undefined;
                opened.livenessWaiters.forEach((notify) => notify(true));
                const message = body as CallMessage;
                if (message.kind === "result" && message.sentAtMs !== undefined) {
                    opened.lastStated = { sentAtMs: message.sentAtMs, receivedAtMs: performance.now() };
                }
                this.options.onMessage(link.peerIdentity(), outstanding, message);
            },
            onClose: () => {
                opened.livenessWaiters.forEach((notify) => notify(false));
                // The clock of the process at the next connection may have another origin.
                opened.lastStated = undefined;
                [...outstanding.values()].forEach((request) => request.settle(failureOf(request, linkResults.broken)));
            },
        });
        const opened: NodeLink = {
            link,
            outstanding,
            usedAtMs: performance.now(),
            lastReceivedAtMs: 0,
            lastStated: undefined,
            pingedAtMs: undefined,
            livenessWaiters: new Set(),
        };
        this.links.set(text, opened);
        return opened;
    }

    /** Pings a link on which requests wait but no message arrives, and retires it if the ping is not answered. */
    private checkLiveness(address: string, nodeLink: NodeLink): void {
        const nowMs = performance.now();
        const { pingedAtMs, lastReceivedAtMs, link, outstanding } = nodeLink;
        if (!link.isOpen()) {
            nodeLink.pingedAtMs = undefined;
            return;
        }
        if (pingedAtMs !== undefined) {
            if (nowMs - pingedAtMs >= PONG_TIMEOUT_MS) {
                this.retire(address, nodeLink);
            }
            else if (nowMs - pingedAtMs >= IDEMPOTENT_PONG_TIMEOUT_MS) {
                this.failRepeatable(nodeLink);
            }
            return;
        }
        if (outstanding.size === 0) {
            return;
        }
        const oldestMs = Math.min(...[...outstanding.values()].map(({ sentAtMs }) => sentAtMs));
        if (nowMs - Math.max(lastReceivedAtMs, oldestMs) >= PING_AFTER_MS) {
            nodeLink.pingedAtMs = nowMs;
            link.send({ kind: "ping" } satisfies CallMessage);
        }
    }

    /**
     * Stops using a link that has stopped responding; new requests get a new link. Outstanding requests that
     * may be retried fail at once; the others keep waiting for their results on the old link.
     */
    private retire(address: string, nodeLink: NodeLink): void {
        if (this.links.get(address) === nodeLink) {
            this.links.delete(address);
        }
        this.retired.add(nodeLink);
        this.failRepeatable(nodeLink);
        this.disposeRetired(nodeLink);
    }

    /** Fails the outstanding requests that may be repeated: idempotent ones, and those whose body was not sent. */
    private failRepeatable({ outstanding }: NodeLink): void {
        for (const request of [...outstanding.values()]) {
            const result = failureOf(request, linkResults.silent);
            if (request.idempotent || result.kind === "not-run") {
                request.settle(result);
            }
        }
    }

    private closeUnused(): void {
        const limitMs = performance.now() - LINK_IDLE_TIMEOUT_MS;
        for (const [address, { link, outstanding, usedAtMs }] of this.links) {
            if (usedAtMs < limitMs && outstanding.size === 0) {
                this.links.delete(address);
                link.dispose();
            }
        }
    }
}
