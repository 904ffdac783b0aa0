import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { Channel } from "../transport/Channel";
import { parseAddress } from "../transport/parseAddress";
import { PeerNetwork } from "../transport/PeerNetwork";
import { acceptUpdate } from "./acceptUpdate";
import { ConfigurationUpdate } from "./ConfigurationUpdate";
import { DistributionMessage } from "./DistributionMessage";
import { distributionTimings } from "./distributionTimings";
import { emptyResources } from "./emptyResources";
import { Evidence } from "./Evidence";
import { resourceDigests } from "./resourceDigests";
import { ResourceState } from "./ResourceState";
import { ServiceReport } from "./ServiceReport";

const WATCH_INTERVAL_MS = 250;

/** What a child is built from. */
type ChildOptions = {
    readonly zone: string;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Peer addresses that may serve as parent, best first. */
    readonly parents: () => readonly string[];
    /** The configuration has changed. It is complete and checked. */
    readonly onChange: (state: ResourceState, changed: readonly string[]) => void;
    /** A new parent has been found: reports must start over. */
    readonly onParent: () => void;
};

type Parent = {
    readonly address: string;
    readonly link: ReturnType<PeerNetwork["open"]>;
    readonly sinceMs: number;
};

/** Follows one parent: subscribes, takes in updates and changes the parent when it falls silent. */
export class ChildTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly avoidUntilMs = new Map<string, number>();
    private services: readonly string[] = [];
    private state: ResourceState = emptyResources;
    private parent: Parent | undefined;
    private openSinceMs: number | undefined;
    private reconsideredAtMs = 0;
    private subscribeTimer: NodeJS.Timeout | undefined;

    public constructor(private readonly options: ChildOptions) {
        this.resources.every(WATCH_INTERVAL_MS, () => this.watchParent());
        this.resources.add({ dispose: () => this.parent?.link.dispose() });
        this.resources.add({ dispose: () => clearTimeout(this.subscribeTimer) });
    }

    public get present(): ResourceState {
        return this.state;
    }

    public get parentAddress(): string | undefined {
        return this.openSinceMs === undefined ? undefined : this.parent?.address;
    }

    /** Sets the services that this process and its children want. */
    public want(services: ReadonlySet<string>): void {
        const sorted = [...services].sort();
        if (sorted.join(" ") === this.services.join(" ")) {
            return;
        }
        this.services = sorted;
        this.subscribe();
        this.watchParent();
    }

    /** Sends a report upwards. Returns false without an open parent. */
    public report(services: readonly ServiceReport[], evidence: readonly Evidence[]): boolean {
        const message: DistributionMessage = { kind: "report", services, evidence };
        return (this.parent?.link.send(message) ?? 0) > 0;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private watchParent(): void {
        const nowMs = this.options.clock.monotonicMs();
        const candidates = this.options.parents().filter((address) => (this.avoidUntilMs.get(address) ?? 0) <= nowMs);
        const best = candidates.at(0);
        if (!this.parent) {
            this.follow(best, nowMs);
            return;
        }
        const waitedMs = nowMs - this.parent.sinceMs;
        if (this.openSinceMs === undefined && waitedMs >= distributionTimings.parentTimeoutMs) {
            this.avoidUntilMs.set(this.parent.address, nowMs + distributionTimings.avoidParentMs);
            this.follow(candidates.find((address) => address !== this.parent?.address) ?? best, nowMs);
            return;
        }
        const due = nowMs - this.reconsideredAtMs >= distributionTimings.reconsiderParentMs;
        if (due && best && best !== this.parent.address) {
            this.reconsideredAtMs = nowMs;
            this.follow(best, nowMs);
        }
    }

    private follow(text: string | undefined, nowMs: number): void {
        const address = text ? parseAddress(text) : undefined;
        if (!text || !address || this.services.length === 0) {
            return;
        }
        this.parent?.link.dispose();
        this.openSinceMs = undefined;
        this.reconsideredAtMs = nowMs;
        const link = this.options.network.open(Channel.Distribution, address, {
            onOpen: (identity) => {
                if (this.parent?.link !== link) {
                    return;
                }
                this.openSinceMs = this.options.clock.monotonicMs();
                this.options.log.info("parent-opened", { parent: identity });
                this.subscribe();
                this.options.onParent();
            },
            onMessage: (body) => this.receive(body as DistributionMessage),
            onClose: () => {
                if (this.parent?.link !== link) {
                    return;
                }
                this.openSinceMs = undefined;
                this.parent = { ...this.parent, sinceMs: this.options.clock.monotonicMs() };
                this.options.log.warn("parent-closed", { parent: text });
            },
        });
        this.parent = { address: text, link, sinceMs: nowMs };
    }

    private subscribe(): void {
        const held = [...this.state.resources.values()].map((resource) => ({
            service: resource.service,
            revision: resource.revision,
            digests: resourceDigests(resource),
        }));
        const { zone } = this.options;
        const { sourceRevision } = this.state;
        const message = { kind: "subscribe", zone, services: this.services, held, sourceRevision } as const;
        this.parent?.link.send(message satisfies DistributionMessage);
    }

    private subscribeLater(): void {
        clearTimeout(this.subscribeTimer);
        this.subscribeTimer = setTimeout(() => this.subscribe(), distributionTimings.resubscribeDelayMs);
    }

    private receive(message: DistributionMessage): void {
        switch (message.kind) {
            case "update":
                this.accept(message.update);
                return;
            case "caught-up":
                this.accept({ sourceRevision: message.sourceRevision, resources: [], contents: [] });
                return;
            case "retry-later":
                this.options.log.info("parent-busy", { delayMs: message.delayMs });
                this.parent?.link.holdBack(message.delayMs);
                return;
        }
    }

    private accept(update: ConfigurationUpdate): void {
        const { changed, rejected, state } = acceptUpdate(this.state, update);
        const before = this.state;
        this.state = state;
        for (const { reason, revision, service } of rejected) {
            this.options.log.error("update-rejected", { service, revision, reason });
        }
        if (rejected.length > 0) {
            // Subscribing again makes the parent send in whole what was refused.
            this.subscribeLater();
        }
        if (changed.length > 0 || state.sourceRevision !== before.sourceRevision) {
            this.options.onChange(state, changed);
        }
    }
}
