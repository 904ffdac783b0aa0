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

/** What a parent is built from. */
type ParentOptions = {
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly reports: ReportTask;
    /** The services that all children together want have changed. */
    readonly onWanted: (services: ReadonlySet<string>) => void;
};

type Child = {
    readonly id: string;
    readonly send: (message: DistributionMessage) => void;
    readonly subscription: Subscription;
    readonly caughtUpRevision: number;
};

/** Serves configuration to children and takes in their reports. Control replicas and relays run the same task. */
export class ParentTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly children = new Map<object, Child>();
    private admission: SubscriptionAdmission;
    private present: ResourceState = emptyResources;
    private pushPending = false;

    public constructor(private readonly options: ParentOptions) {
        const tokens = distributionTimings.subscriptionBurst;
        this.admission = { tokens, updatedAtMs: options.clock.monotonicMs() };
        options.network.handle(Channel.Distribution, {
            onMessage: (remote, body) => {
                const send = (message: DistributionMessage): void => void remote.send(message);
                this.receive(remote, remote.identity, send, body as DistributionMessage);
            },
            onClose: (remote) => this.drop(remote, remote.identity),
        });
        this.resources.every(distributionTimings.caughtUpIntervalMs, () => this.tellCaughtUp());
    }

    public get childCount(): number {
        return this.children.size;
    }

    /** Takes a new configuration and sends each child what it lacks. Changes in the same turn go out together. */
    public publish(state: ResourceState): void {
        this.present = state;
        if (this.pushPending) {
            return;
        }
        this.pushPending = true;
        setImmediate(() => {
            this.pushPending = false;
            [...this.children.keys()].forEach((key) => this.push(key));
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
        this.tellWanted();
        this.push(key);
        this.tellChildCaughtUp(key);
    }

    private admit(send: (message: DistributionMessage) => void): boolean {
        const { clock, random } = this.options;
        const { admission, retryAfterMs } = admitSubscription(this.admission, clock.monotonicMs(), random.fraction());
        this.admission = admission;
        if (retryAfterMs > 0) {
            send({ kind: "retry-later", delayMs: retryAfterMs });
        }
        return retryAfterMs === 0;
    }

    private drop(key: object, id: string): void {
        this.children.delete(key);
        const replaced = [...this.children.values()].some((child) => child.id === id);
        if (!replaced) {
            this.options.reports.forget(id);
        }
        this.tellWanted();
    }

    private push(key: object): void {
        const child = this.children.get(key);
        if (!child) {
            return;
        }
        const { subscription, update } = computeUpdate(this.present, child.subscription);
        if (!update) {
            return;
        }
        child.send({ kind: "update", update });
        this.children.set(key, { ...child, subscription, caughtUpRevision: update.sourceRevision });
    }

    private tellCaughtUp(): void {
        [...this.children.keys()].forEach((key) => this.tellChildCaughtUp(key));
    }

    private tellChildCaughtUp(key: object): void {
        const child = this.children.get(key);
        const { sourceRevision } = this.present;
        if (!child || child.caughtUpRevision >= sourceRevision || child.subscription.sourceRevision > sourceRevision) {
            return;
        }
        child.send({ kind: "caught-up", sourceRevision });
        this.children.set(key, { ...child, caughtUpRevision: sourceRevision });
    }

    private tellWanted(): void {
        const services = [...this.children.values()].flatMap(({ subscription }) => [...subscription.services]);
        this.options.onWanted(new Set(services));
    }
}
