import { Clock } from "../core/Clock";
import { RandomSource } from "../core/RandomSource";
import { rankByRendezvous } from "../core/rankByRendezvous";
import { BackendViews } from "./BackendViews";
import { isInBackoff } from "./isInBackoff";
import { pickBackend } from "./pickBackend";
import { RoutableBackend } from "./RoutableBackend";
import { RouteStatistics } from "./RouteStatistics";
import { SelectedCall } from "./SelectedCall";
import { ZonedBackends } from "./ZonedBackends";
import { ZoneReason } from "./ZoneReason";
import { ZoneRouting } from "./ZoneRouting";

/** Dependencies of the selector. */
type SelectorOptions = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly views: BackendViews;
    readonly statistics: RouteStatistics;
    /** Returns the backend servers that may run a request of the service now. */
    readonly backendsOf: (service: string) => ZonedBackends;
    /** Returns those of the version that is in service apart from a running rollout. */
    readonly stableBackendsOf: (service: string) => ZonedBackends;
    readonly zone: string;
    readonly linkBytesPerMs: number;
    readonly pricePerKilobyte: number;
    /** Called for each attempt for which a zone was chosen. */
    readonly onChoice: (service: string, zone: string, reason: ZoneReason) => void;
};

/**
 * Below this bandwidth (100 Mbit/s) requests that are tried again stay in their zone too unless `ZoneRouting` lets them
 * leave, and backend servers admit requests of other zones after those of their own.
 */
const NARROW_LINK_BYTES_PER_MS = 12_500;

/** Chooses the zone and the backend server of each attempt from what this node knows. */
export class BackendSelector {
    private readonly routing: ZoneRouting;
    private readonly hasNarrowLink: boolean;

    public constructor(private readonly options: SelectorOptions) {
        this.routing = new ZoneRouting(options);
        this.hasNarrowLink = options.linkBytesPerMs < NARROW_LINK_BYTES_PER_MS;
    }

    /**
     * Returns undefined if no untried backend server is known, or none that is worth an attempt.
     * @param tried nodes at which the request was already attempted
     */
    public select(call: SelectedCall, tried: ReadonlySet<string>): RoutableBackend | undefined {
        const { backendsOf, clock, onChoice, random, statistics, views } = this.options;
        const { routeName, service, targetAtMs } = call;
        const nowMs = clock.monotonicMs();
        const input: Parameters<typeof pickBackend>[0] = {
            backends: backendsOf(service),
            viewOf: (backend) => views.viewOf(backend),
            tried,
            nowMs,
            targetRemainingMs: targetAtMs - nowMs,
            averageBytes: statistics.averageBytes(routeName),
            routeServiceMs: statistics.serviceMs(routeName),
            random,
        };
        if (tried.size > 0 && !this.hasNarrowLink) {
            return pickBackend(input);
        }
        const choice = this.routing.choose(call, input);
        if (!this.hasNarrowLink && (!choice || isInBackoff(views.viewOf(choice.backend), nowMs))) {
            return pickBackend(input);
        }
        if (choice) {
            onChoice(service, choice.backend.zone, choice.reason);
        }
        return choice?.backend;
    }

    /**
     * Returns the backend server at which a request runs under which others crashed. All nodes choose the same one for a
     * fingerprint, and the next one if it can't be reached.
     */
    public selectForTrial(
        service: string,
        fingerprint: string,
        tried: ReadonlySet<string>,
    ): RoutableBackend | undefined {
        const { otherZones, sameZone } = this.options.stableBackendsOf(service);
        const backends = new Map([...sameZone, ...otherZones].map((backend) => [backend.nodeId, backend]));
        const first = rankByRendezvous(fingerprint, [...backends.keys()]).find((nodeId) => !tried.has(nodeId));
        return first === undefined ? undefined : backends.get(first);
    }

    /** True if a backend server of the service is known at which the request was not attempted. */
    public hasUntried(service: string, tried: ReadonlySet<string>): boolean {
        const { otherZones, sameZone } = this.options.backendsOf(service);
        const isUntried = ({ nodeId }: RoutableBackend): boolean => !tried.has(nodeId);
        return sameZone.some(isUntried) || otherZones.some(isUntried);
    }

    /** True if the backend server has a free slot as far as this node knows. */
    public hasFreeSlot(backend: RoutableBackend): boolean {
        const { fromOtherNodes, outstanding } = this.options.views.viewOf(backend);
        return outstanding + fromOtherNodes < backend.slots;
    }

    /** True if requests to this backend server leave the zone and this node's link is narrow. */
    public leavesZone({ zone }: RoutableBackend): boolean {
        return this.hasNarrowLink && zone !== this.options.zone;
    }
}
