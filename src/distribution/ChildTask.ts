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
import { ParentCandidate } from "./ParentCandidate";
import { RequestStatistics } from "./RequestStatistics";
import { resourceDigests } from "./resourceDigests";
import { ResourceState } from "./ResourceState";
import { ServiceReport } from "./ServiceReport";

/** Interval at which the link to the parent and the choice of the parent are checked. */
const PARENT_CHECK_INTERVAL_MS = 250;

/** Dependencies and callbacks of `ChildTask`. */
type ChildOptions = {
    readonly zone: string;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Returns the processes that may serve as parent, best first. */
    readonly parents: () => readonly ParentCandidate[];
    /**
     * Called when the configuration or its source revision has changed. `changed` lists the services that changed.
     * The state holds only services that were verified and whose contents are complete.
     */
    readonly onChange: (state: ResourceState, changed: readonly string[]) => void;
    /** Called when a link to a parent has opened. The parent may hold no reports yet, so all must be sent again. */
    readonly onParentOpened: () => void;
};

type Parent = ParentCandidate & {
    readonly link: ReturnType<PeerNetwork["open"]>;
    /** Monotonic time at which the parent was chosen or, if later, its link last closed, in milliseconds. */
    readonly sinceMs: number;
};

/** A parent that could not be reached and is skipped for a time. */
type UnreachableParent = {
    readonly avoidUntilMs: number;
    readonly failures: number;
};

/**
 * Receives configuration from one parent: subscribes, applies updates and changes to another parent when the link stays
 * closed or a better parent becomes available.
 */
export class ChildTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly unreachableParents = new Map<string, UnreachableParent>();
    private services: readonly string[] = [];
    private state: ResourceState = emptyResources;
    private parent: Parent | undefined;
    /** Monotonic time at which the link to the parent opened, in milliseconds; undefined while it is closed. */
    private openSinceMs: number | undefined;
    private bestCheckedAtMs = 0;
    private subscribeTimer: NodeJS.Timeout | undefined;

    public constructor(private readonly options: ChildOptions) {
        this.resources.every(PARENT_CHECK_INTERVAL_MS, () => this.checkParent());
        this.resources.add({ dispose: () => this.parent?.link.dispose() });
        this.resources.add({ dispose: () => clearTimeout(this.subscribeTimer) });
    }

    /** The current configuration. */
    public get current(): ResourceState {
        return this.state;
    }

    /** The address of the parent; undefined while the link to it is closed. */
    public get parentAddress(): string | undefined {
        return this.openSinceMs === undefined ? undefined : this.parent?.address;
    }

    /** Sets the services to subscribe to: those of this process and of its children. */
    public setServices(services: ReadonlySet<string>): void {
        const sorted = [...services].sort();
        if (sorted.join(" ") === this.services.join(" ")) {
            return;
        }
        this.services = sorted;
        this.subscribe();
        this.checkParent();
    }

    /** Sends a report to the parent. Returns false if no parent is connected or the parent does not accept reports. */
    public report(services: readonly ServiceReport[], statistics: readonly RequestStatistics[]): boolean {
        if (!this.parent?.acceptsReports) {
            return false;
        }
        const message: DistributionMessage = { kind: "report", services, evidence: statistics };
        return this.parent.link.send(message) > 0;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private checkParent(): void {
        const nowMs = this.options.clock.monotonicMs();
        const { parentTimeoutMs, reconsiderParentMs } = distributionTimings;
        if (!this.parent) {
            this.connectToBest(nowMs);
            return;
        }
        if (this.openSinceMs === undefined) {
            if (nowMs - this.parent.sinceMs >= parentTimeoutMs) {
                this.avoidParent(this.parent.address, nowMs);
            }
            return;
        }
        if (nowMs - this.bestCheckedAtMs < reconsiderParentMs) {
            return;
        }
        this.bestCheckedAtMs = nowMs;
        if (this.findBest(nowMs)?.address !== this.parent.address) {
            this.connectToBest(nowMs);
        }
    }

    /** Returns the best parent that is not skipped at the moment. */
    private findBest(nowMs: number): ParentCandidate | undefined {
        return this.options.parents().find(({ address }) =>
            (this.unreachableParents.get(address)?.avoidUntilMs ?? 0) <= nowMs
        );
    }

    private connectToBest(nowMs: number): void {
        const best = this.findBest(nowMs);
        if (best) {
            this.connect(best, nowMs);
        }
    }

    /** Skips an unreachable parent, for longer after each failure, and connects to the best of the others. */
    private avoidParent(address: string, nowMs: number): void {
        const { avoidParentLimitMs, avoidParentMs } = distributionTimings;
        const failures = this.unreachableParents.get(address)?.failures ?? 0;
        const pauseMs = Math.min(avoidParentLimitMs, avoidParentMs * 2 ** failures);
        this.unreachableParents.set(address, { avoidUntilMs: nowMs + pauseMs, failures: failures + 1 });
        if (this.parent?.address === address) {
            this.parent.link.dispose();
            this.parent = undefined;
            this.openSinceMs = undefined;
        }
        this.connectToBest(nowMs);
    }

    private connect(candidate: ParentCandidate, nowMs: number): void {
        const address = parseAddress(candidate.address);
        if (!address || this.services.length === 0) {
            return;
        }
        this.parent?.link.dispose();
        this.openSinceMs = undefined;
        this.bestCheckedAtMs = nowMs;
        const link = this.options.network.open(Channel.Distribution, address, {
            onOpen: (identity) => {
                if (this.parent?.link !== link) {
                    return;
                }
                this.openSinceMs = this.options.clock.monotonicMs();
                this.unreachableParents.delete(candidate.address);
                this.options.log.info("parent-opened", { parent: identity });
                this.subscribe();
                this.options.onParentOpened();
            },
            onMessage: (body) => this.receive(body as DistributionMessage),
            onClose: () => {
                if (this.parent?.link !== link) {
                    return;
                }
                this.openSinceMs = undefined;
                this.parent = { ...this.parent, sinceMs: this.options.clock.monotonicMs() };
                this.options.log.warn("parent-closed", { parent: candidate.address });
            },
            onFailure: () => {
                if (this.parent?.link === link) {
                    this.avoidParent(candidate.address, this.options.clock.monotonicMs());
                }
            },
        });
        this.parent = { ...candidate, link, sinceMs: nowMs };
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

    private scheduleSubscribe(): void {
        clearTimeout(this.subscribeTimer);
        this.subscribeTimer = setTimeout(() => this.subscribe(), distributionTimings.resubscribeDelayMs);
    }

    private receive(message: DistributionMessage): void {
        switch (message.kind) {
            case "update":
                this.applyUpdate(message.update);
                return;
            case "caught-up":
                this.applyUpdate({ sourceRevision: message.sourceRevision, resources: [], contents: [] });
                return;
            case "retry-later":
                this.options.log.info("parent-busy", { delayMs: message.delayMs });
                this.parent?.link.reconnectAfter(message.delayMs);
                return;
        }
    }

    private applyUpdate(update: ConfigurationUpdate): void {
        const { changed, rejected, state } = acceptUpdate(this.state, update);
        const previous = this.state;
        this.state = state;
        for (const { reason, revision, service } of rejected) {
            this.options.log.error("update-rejected", { service, revision, reason });
        }
        if (rejected.length > 0) {
            // Subscribing again makes the parent send the rejected services again, with all their contents.
            this.scheduleSubscribe();
        }
        if (changed.length > 0 || state.sourceRevision !== previous.sourceRevision) {
            this.options.onChange(state, changed);
        }
    }
}
