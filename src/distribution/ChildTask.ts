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
import { ParentCandidate } from "./ParentCandidate";
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
    /** The processes that may serve as parent, best first. */
    readonly parents: () => readonly ParentCandidate[];
    /** The configuration has changed. It is complete and checked. */
    readonly onChange: (state: ResourceState, changed: readonly string[]) => void;
    /** A new parent has been found: reports must start over. */
    readonly onParent: () => void;
};

type Parent = ParentCandidate & {
    readonly link: ReturnType<PeerNetwork["open"]>;
    readonly sinceMs: number;
};

/** A parent that could not be reached. */
type AvoidedParent = {
    readonly untilMs: number;
    readonly failures: number;
};

/** Follows one parent: subscribes, takes in updates and changes the parent when it falls silent. */
export class ChildTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly avoided = new Map<string, AvoidedParent>();
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
        if (!this.parent?.takesReports) {
            return false;
        }
        const message: DistributionMessage = { kind: "report", services, evidence };
        return this.parent.link.send(message) > 0;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private watchParent(): void {
        const nowMs = this.options.clock.monotonicMs();
        const { parentTimeoutMs, reconsiderParentMs } = distributionTimings;
        if (!this.parent) {
            this.followBest(nowMs);
            return;
        }
        if (this.openSinceMs === undefined) {
            if (nowMs - this.parent.sinceMs >= parentTimeoutMs) {
                this.giveUp(this.parent.address, nowMs);
            }
            return;
        }
        if (nowMs - this.reconsideredAtMs < reconsiderParentMs) {
            return;
        }
        this.reconsideredAtMs = nowMs;
        if (this.best(nowMs)?.address !== this.parent.address) {
            this.followBest(nowMs);
        }
    }

    /** The best parent, without those that could not be reached lately. */
    private best(nowMs: number): ParentCandidate | undefined {
        return this.options.parents().find(({ address }) => (this.avoided.get(address)?.untilMs ?? 0) <= nowMs);
    }

    private followBest(nowMs: number): void {
        const best = this.best(nowMs);
        if (best) {
            this.follow(best, nowMs);
        }
    }

    /** Passes over a parent that can't be reached and goes on to the next. */
    private giveUp(address: string, nowMs: number): void {
        const { avoidParentLimitMs, avoidParentMs } = distributionTimings;
        const failures = this.avoided.get(address)?.failures ?? 0;
        const pauseMs = Math.min(avoidParentLimitMs, avoidParentMs * 2 ** failures);
        this.avoided.set(address, { untilMs: nowMs + pauseMs, failures: failures + 1 });
        if (this.parent?.address === address) {
            this.parent.link.dispose();
            this.parent = undefined;
            this.openSinceMs = undefined;
        }
        this.followBest(nowMs);
    }

    private follow(candidate: ParentCandidate, nowMs: number): void {
        const address = parseAddress(candidate.address);
        if (!address || this.services.length === 0) {
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
                this.avoided.delete(candidate.address);
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
                this.options.log.warn("parent-closed", { parent: candidate.address });
            },
            onFailure: () => {
                if (this.parent?.link === link) {
                    this.giveUp(candidate.address, this.options.clock.monotonicMs());
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
