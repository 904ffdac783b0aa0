import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";
import { BackendLoad } from "./BackendLoad";
import { CallMessage } from "./CallMessage";
import { CallOrder } from "./CallOrder";
import { CallReceiver } from "./CallReceiver";
import { CallResult } from "./CallResult";

/** What the exchange of requests between nodes is built from. */
type CallTaskOptions = {
    readonly ownId: string;
    readonly network: PeerNetwork;
    readonly receiver: CallReceiver;
    readonly onLoad: (nodeId: string, load: BackendLoad) => void;
};

type Link = ReturnType<PeerNetwork["open"]>;

type Outstanding = {
    readonly settle: (result: CallResult) => void;
    readonly mayRepeat: boolean;
    readonly sentAtMs: number;
};

/** One link to a node, and the requests that wait for its results. */
type NodeLink = {
    readonly link: Link;
    readonly outstanding: Map<number, Outstanding>;
    usedAtMs: number;
    /** When anything last came over the link. */
    heardAtMs: number;
    /** When a sign of life was asked for that has not come yet. */
    askedAtMs: number | undefined;
    /** Called with true at the next sign of life, with false when the link closes. */
    readonly awaitingSign: Set<(isAlive: boolean) => void>;
};

/** A link that carried no request for this long is closed. */
const UNUSED_LINK_MS = 60_000;

/** How often links are looked at for silence. */
const SILENCE_CHECK_MS = 100;

/** A link on which requests wait and nothing came for this long is asked for a sign of life. */
const ASK_AFTER_MS = 250;

/**
 * A request that must not be repeated first asks for a sign of life where nothing came for this long, since a link can
 * have fallen silent while it was idle. It costs a round trip, so links that are used all the time are spared.
 */
const FRESH_FOR_MS = 1_000;

/** Without a sign of life for this long the link counts as silent: far beyond a busy node's usual pause. */
const SILENT_AFTER_MS = 600;

/**
 * Pace of heartbeats on links between nodes, in ms. Each node has links to all others, so that each second would cost
 * a share of the processor that grows with the mesh. Links in use are watched here, and dead members are told of.
 */
const HEARTBEAT_MS = 20_000;

/** How long a request waits for a link to open before another node is tried: several round trips within a region. */
const OPEN_WAIT_MS = 250;

const unreachable: CallResult = { kind: "not-run", reason: "unreachable", retryAfterMs: 0 };
const silent: CallResult = { kind: "unknown", reason: "silent" };
const broken: CallResult = { kind: "unknown", reason: "broken" };

/** Sends requests to the nodes beside backend servers and serves those of other nodes. */
export class CallTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly links = new Map<string, NodeLink>();
    /** Silent links: what may not be repeated still waits for its result there. */
    private readonly retired = new Set<NodeLink>();
    private readonly served = new Map<object, Map<number, AbortController>>();
    /** The start of the process at each address. */
    private incarnations: ReadonlyMap<string, number> = new Map();
    private lastNumber = 0;

    public constructor(private readonly options: CallTaskOptions) {
        options.network.handle(Channel.Calls, {
            onMessage: (remote, body) => {
                const send = (message: CallMessage): void => void remote.send(message);
                this.serve(remote, remote.identity, send, body as CallMessage);
            },
            onClose: (remote) => {
                this.served.get(remote)?.forEach((controller) => controller.abort());
                this.served.delete(remote);
            },
        });
        this.resources.every(UNUSED_LINK_MS / 4, () => this.closeUnused());
        this.resources.every(SILENCE_CHECK_MS, () => this.links.forEach((link, address) => this.check(address, link)));
        this.resources.add({ dispose: () => this.links.forEach(({ link }) => link.dispose()) });
        this.resources.add({ dispose: () => this.retired.forEach(({ link }) => link.dispose()) });
    }

    /** Makes one attempt at a request, at the given node. It never tries again by itself. */
    public async send(
        nodeId: string,
        address: string,
        order: CallOrder,
        mayRepeat: boolean,
        signal: AbortSignal,
    ): Promise<CallResult> {
        if (nodeId === this.options.ownId) {
            const result = await this.options.receiver.receive(nodeId, order, signal);
            this.noteLoad(nodeId, this.options.receiver.loadFor(nodeId));
            return result;
        }
        const askedAtMs = performance.now();
        const nodeLink = await this.openLink(address, mayRepeat);
        if (!nodeLink) {
            return unreachable;
        }
        if (signal.aborted) {
            return { kind: "not-run", reason: "cancelled", retryAfterMs: 0 };
        }
        const waitedMs = Math.ceil(performance.now() - askedAtMs);
        const remainingMs = order.remainingMs - waitedMs;
        if (remainingMs <= 0) {
            return { kind: "not-run", reason: "expired", retryAfterMs: 0 };
        }
        const targetRemainingMs = order.targetRemainingMs - waitedMs;
        return this.exchange(nodeLink, { ...order, remainingMs, targetRemainingMs }, mayRepeat, signal);
    }

    /**
     * Closes idle links to processes that are gone or were started again: nothing would tell of it on a link whose
     * host lost its power, and the next request would be lost there.
     * @param incarnations of the members that are present, by their address
     */
    public followMembers(incarnations: ReadonlyMap<string, number>): void {
        const before = this.incarnations;
        this.incarnations = incarnations;
        for (const [address, { link, outstanding }] of this.links) {
            const isSame = before.get(address) === incarnations.get(address);
            if (!isSame && outstanding.size === 0) {
                this.links.delete(address);
                link.dispose();
            }
        }
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private exchange(
        nodeLink: NodeLink,
        order: CallOrder,
        mayRepeat: boolean,
        signal: AbortSignal,
    ): Promise<CallResult> {
        const { link, outstanding } = nodeLink;
        this.lastNumber += 1;
        const number = this.lastNumber;
        const sentAtMs = performance.now();
        nodeLink.usedAtMs = sentAtMs;
        return new Promise((resolve) => {
            const settle = (result: CallResult): void => {
                outstanding.delete(number);
                this.disposeRetired(nodeLink);
                clearTimeout(timer);
                signal.removeEventListener("abort", onAbort);
                resolve(result);
            };
            const onAbort = (): void => {
                link.send({ kind: "cancel", number } satisfies CallMessage);
                settle({ kind: "unknown", reason: "cancelled" });
            };
            const onTimeout = (): void => {
                link.send({ kind: "cancel", number } satisfies CallMessage);
                settle({ kind: "unknown", reason: "timed-out" });
            };
            const timer = setTimeout(onTimeout, order.remainingMs);
            signal.addEventListener("abort", onAbort, { once: true });
            outstanding.set(number, { settle, mayRepeat, sentAtMs });
            if (link.send({ kind: "order", number, order } satisfies CallMessage) === 0) {
                settle(unreachable);
            }
        });
    }

    /** The link to a node once it is open, and for what may not be repeated also known to be alive. */
    private async openLink(address: string, mayRepeat: boolean): Promise<NodeLink | undefined> {
        const present = this.linkTo(address);
        if (!present || !(await present.link.untilOpen(OPEN_WAIT_MS))) {
            return undefined;
        }
        if (mayRepeat || await this.isAlive(present)) {
            return present;
        }
        this.retire(address, present);
        const renewed = this.linkTo(address);
        return renewed && await renewed.link.untilOpen(OPEN_WAIT_MS) ? renewed : undefined;
    }

    private isAlive({ awaitingSign, heardAtMs, link }: NodeLink): Promise<boolean> {
        if (performance.now() - heardAtMs < FRESH_FOR_MS) {
            return Promise.resolve(true);
        }
        link.send({ kind: "ping" } satisfies CallMessage);
        return new Promise((resolve) => {
            const finish = (isAlive: boolean): void => {
                clearTimeout(timer);
                awaitingSign.delete(finish);
                resolve(isAlive);
            };
            const timer = setTimeout(() => finish(false), SILENT_AFTER_MS);
            awaitingSign.add(finish);
        });
    }

    private linkTo(text: string): NodeLink | undefined {
        const present = this.links.get(text);
        const address = parseAddress(text);
        if (present || !address) {
            return present;
        }
        const outstanding = new Map<number, Outstanding>();
        const link = this.options.network.open(Channel.Calls, address, {
            heartbeatMs: HEARTBEAT_MS,
            onOpen: () => {
                opened.heardAtMs = performance.now();
            },
            onMessage: (body) => {
                opened.heardAtMs = performance.now();
                opened.askedAtMs = undefined;
                opened.awaitingSign.forEach((onSign) => onSign(true));
                this.onResult(link.peerIdentity(), outstanding, body as CallMessage);
            },
            onClose: () => {
                opened.awaitingSign.forEach((onSign) => onSign(false));
                [...outstanding.values()].forEach(({ settle }) => settle(broken));
            },
        });
        const opened: NodeLink = {
            link,
            outstanding,
            usedAtMs: performance.now(),
            heardAtMs: 0,
            askedAtMs: undefined,
            awaitingSign: new Set(),
        };
        this.links.set(text, opened);
        return opened;
    }

    private onResult(nodeId: string, outstanding: ReadonlyMap<number, Outstanding>, message: CallMessage): void {
        if (message.kind !== "result") {
            return;
        }
        this.noteLoad(nodeId, message.load);
        outstanding.get(message.number)?.settle(message.result);
    }

    private noteLoad(nodeId: string, load: BackendLoad | undefined): void {
        if (load) {
            this.options.onLoad(nodeId, load);
        }
    }

    private serve(key: object, from: string, send: (message: CallMessage) => void, message: CallMessage): void {
        const running = this.served.get(key) ?? new Map<number, AbortController>();
        this.served.set(key, running);
        if (message.kind === "ping") {
            send({ kind: "pong" });
            return;
        }
        if (message.kind === "cancel") {
            running.get(message.number)?.abort();
            return;
        }
        if (message.kind === "order") {
            void this.runFor(from, running, send, message);
        }
    }

    private async runFor(
        from: string,
        running: Map<number, AbortController>,
        send: (message: CallMessage) => void,
        { number, order }: CallMessage & { readonly kind: "order"; },
    ): Promise<void> {
        const controller = new AbortController();
        running.set(number, controller);
        const { receiver } = this.options;
        const result = await receiver.receive(from, order, controller.signal);
        running.delete(number);
        if (!controller.signal.aborted) {
            send({ kind: "result", number, result, load: receiver.loadFor(from) });
        }
    }

    /** Asks for a sign of life where results are due, and gives the link up if none comes. */
    private check(address: string, nodeLink: NodeLink): void {
        const nowMs = performance.now();
        const { askedAtMs, heardAtMs, link, outstanding } = nodeLink;
        if (outstanding.size === 0 || !link.isOpen()) {
            nodeLink.askedAtMs = undefined;
            return;
        }
        if (askedAtMs !== undefined) {
            if (nowMs - askedAtMs >= SILENT_AFTER_MS) {
                this.retire(address, nodeLink);
            }
            return;
        }
        const oldestMs = Math.min(...[...outstanding.values()].map(({ sentAtMs }) => sentAtMs));
        if (nowMs - Math.max(heardAtMs, oldestMs) >= ASK_AFTER_MS) {
            nodeLink.askedAtMs = nowMs;
            link.send({ kind: "ping" } satisfies CallMessage);
        }
    }

    /** New requests get a new link. What may be repeated is told at once; the rest still waits on the silent one. */
    private retire(address: string, nodeLink: NodeLink): void {
        if (this.links.get(address) === nodeLink) {
            this.links.delete(address);
        }
        this.retired.add(nodeLink);
        [...nodeLink.outstanding.values()].filter(({ mayRepeat }) => mayRepeat).forEach(({ settle }) => settle(silent));
        this.disposeRetired(nodeLink);
    }

    private disposeRetired(nodeLink: NodeLink): void {
        if (this.retired.has(nodeLink) && nodeLink.outstanding.size === 0) {
            this.retired.delete(nodeLink);
            nodeLink.link.dispose();
        }
    }

    private closeUnused(): void {
        const limitMs = performance.now() - UNUSED_LINK_MS;
        for (const [address, { link, outstanding, usedAtMs }] of this.links) {
            if (usedAtMs < limitMs && outstanding.size === 0) {
                this.links.delete(address);
                link.dispose();
            }
        }
    }
}
