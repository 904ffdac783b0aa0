import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { RandomSource } from "../core/RandomSource";
import { Channel } from "../transport/Channel";
import { PeerNetwork } from "../transport/PeerNetwork";
import { admitSubscription } from "./admitSubscription";
import { computeUpdate } from "./computeUpdate";
import { DistributionMessage } from "./DistributionMessage";
import { distributionTimings } from "./distributionTimings";
import { emptyResources } from "./emptyResources";
import { ReportTask } from "./ReportTask";
import { ResourceState } from "./ResourceState";
import { Subscription } from "./Subscription";
import { SubscriptionAdmission } from "./SubscriptionAdmission";

/** Dependencies and callbacks of `ParentTask`. */
type ParentOptions = {
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Receives the reports of the children. */
    readonly reports: ReportTask;
    /** Called with the services that all children together subscribe to, when a child subscribes or disconnects. */
    readonly onServicesChanged: (services: ReadonlySet<string>) => void;
};

type Child = {
    readonly id: string;
    readonly send: (message: DistributionMessage) => void;
    readonly subscription: Subscription;
    /** The source revision of the last "update" or "caught-up" message; 0 if none was sent. */
    readonly caughtUpRevision: number;
};

/** Sends configuration to children and receives their reports. Runs in control replicas and in relays. */
export class ParentTask implements Disposable {
    private readonly resources = new DisposableStore();
    /** Children by the connection that they opened. */
    private readonly children = new Map<object, Child>();
    private admission: SubscriptionAdmission;
    private resourceState: ResourceState = emptyResources;
    private updatePending = false;

    public constructor(private readonly options: ParentOptions) {
        const tokens = distributionTimings.subscriptionBurst;
        this.admission = { tokens, updatedAtMs: options.clock.monotonicMs() };
        options.network.handle(Channel.Distribution, {
            onMessage: (remote, body) => {
                const send = (message: DistributionMessage): void => void remote.send(message);
                this.receive(remote, remote.identity, send, body as DistributionMessage);
            },
            onClose: (remote) => this.onChildClosed(remote, remote.identity),
        });
        this.resources.every(distributionTimings.caughtUpIntervalMs, () => this.sendCaughtUpToAll());
    }

    public get childCount(): number {
        return this.children.size;
    }

    /**
     * Stores a new configuration and sends each child what it lacks. Several calls in one turn of the event loop
     * cause only one update per child.
     */
    public publish(state: ResourceState): void {
        this.resourceState = state;
        if (this.updatePending) {
            return;
        }
        this.updatePending = true;
        setImmediate(() => {
            this.updatePending = false;
            [...this.children.keys()].forEach((key) => this.sendUpdate(key));
        });
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private receive(
        key: object,
        id: string,
        send: (message: DistributionMessage) => void,
        message: DistributionMessage,
    ): void {
        if (message.kind === "report") {
            this.options.reports.receive(id, message.services, message.evidence);
            return;
        }
        if (message.kind !== "subscribe") {
            return;
        }
        if (!this.children.has(key) && !this.admit(send)) {
            return;
        }
        const held = message.held.map(({ digests, revision, service }) => [service, { revision, digests }] as const);
        const subscription: Subscription = {
            services: new Set(message.services),
            held: new Map(held),
            sourceRevision: message.sourceRevision,
        };
        this.children.set(key, { id, send, subscription, caughtUpRevision: 0 });
        this.notifyServices();
        this.sendUpdate(key);
        this.sendCaughtUp(key);
    }

    /** Returns whether a new subscription is admitted; if not, tells the child when to retry. */
    private admit(send: (message: DistributionMessage) => void): boolean {
        const { clock, random } = this.options;
        const { admission, retryAfterMs } = admitSubscription(this.admission, clock.monotonicMs(), random.fraction());
        this.admission = admission;
        if (retryAfterMs > 0) {
            send({ kind: "retry-later", delayMs: retryAfterMs });
        }
        return retryAfterMs === 0;
    }

    private onChildClosed(key: object, id: string): void {
        this.children.delete(key);
        const reconnected = [...this.children.values()].some((child) => child.id === id);
        if (!reconnected) {
            this.options.reports.forget(id);
        }
        this.notifyServices();
    }

    private sendUpdate(key: object): void {
        const child = this.children.get(key);
        if (!child) {
            return;
        }
        const { subscription, update } = computeUpdate(this.resourceState, child.subscription);
        if (!update) {
            return;
        }
        child.send({ kind: "update", update });
        this.children.set(key, { ...child, subscription, caughtUpRevision: update.sourceRevision });
    }

    private sendCaughtUpToAll(): void {
        [...this.children.keys()].forEach((key) => this.sendCaughtUp(key));
    }

    private sendCaughtUp(key: object): void {
        const child = this.children.get(key);
        const { sourceRevision } = this.resourceState;
        if (!child || child.caughtUpRevision >= sourceRevision || child.subscription.sourceRevision > sourceRevision) {
            return;
        }
        child.send({ kind: "caught-up", sourceRevision });
        this.children.set(key, { ...child, caughtUpRevision: sourceRevision });
    }

    private notifyServices(): void {
        const services = [...this.children.values()].flatMap(({ subscription }) => [...subscription.services]);
        this.options.onServicesChanged(new Set(services));
    }
}
