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
};

/** One link to a node, and the requests that wait for its results. */
type NodeLink = {
    readonly link: Link;
    readonly outstanding: Map<number, Outstanding>;
    usedAtMs: number;
};

/** A link that carried no request for this long is closed. */
const UNUSED_LINK_MS = 60_000;

/** How long a request waits for a link to open before another node is tried: several round trips within a region. */
const OPEN_WAIT_MS = 250;

const unreachable: CallResult = { kind: "not-run", reason: "unreachable", retryAfterMs: 0 };
const broken: CallResult = { kind: "unknown", reason: "broken" };

/** Sends requests to the nodes beside backend servers and serves those of other nodes. */
export class CallTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly links = new Map<string, NodeLink>();
    private readonly served = new Map<object, Map<number, AbortController>>();
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
        this.resources.add({ dispose: () => this.links.forEach(({ link }) => link.dispose()) });
    }

    /** Opens the link to a node ahead of the first request. */
    public prepare(address: string): void {
        this.linkTo(address);
    }

    /** Makes one attempt at a request, at the given node. It never tries again by itself. */
    public async send(nodeId: string, address: string, order: CallOrder, signal: AbortSignal): Promise<CallResult> {
        if (nodeId === this.options.ownId) {
            const result = await this.options.receiver.receive(nodeId, order, signal);
            this.noteLoad(nodeId, this.options.receiver.loadFor(nodeId));
            return result;
        }
        const nodeLink = this.linkTo(address);
        if (!nodeLink) {
            return unreachable;
        }
        if (!nodeLink.link.isOpen() && !(await nodeLink.link.untilOpen(OPEN_WAIT_MS))) {
            return unreachable;
        }
        if (signal.aborted) {
            return { kind: "not-run", reason: "cancelled", retryAfterMs: 0 };
        }
        return this.exchange(nodeLink, order, signal);
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private exchange(nodeLink: NodeLink, order: CallOrder, signal: AbortSignal): Promise<CallResult> {
        const { link, outstanding } = nodeLink;
        this.lastNumber += 1;
        const number = this.lastNumber;
        nodeLink.usedAtMs = performance.now();
        return new Promise((resolve) => {
            const settle = (result: CallResult): void => {
                outstanding.delete(number);
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
            outstanding.set(number, { settle });
            if (link.send({ kind: "order", number, order } satisfies CallMessage) === 0) {
                settle(unreachable);
            }
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
            onMessage: (body) => this.onResult(link.peerIdentity(), outstanding, body as CallMessage),
            onClose: () => [...outstanding.values()].forEach(({ settle }) => settle(broken)),
        });
        const opened: NodeLink = { link, outstanding, usedAtMs: performance.now() };
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
