import { Clock } from "../core/Clock";
import { RandomSource } from "../core/RandomSource";
import { rankByRendezvous } from "../core/rankByRendezvous";
import { BackendViews } from "./BackendViews";
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
    /** Undefined unless this node's link is narrow. */
    readonly narrowLink?: {
        readonly zone: string;
        readonly linkBytesPerMs: number;
        readonly pricePerKilobyte: number;
        /** Called for each attempt with the zone that it is sent to. */
        readonly onChoice: (service: string, zone: string, reason: ZoneReason) => void;
    };
};

/** Chooses the zone and the backend server of each attempt from what this node knows. */
export class BackendSelector {
    private readonly routing: ZoneRouting | undefined;

    public constructor(private readonly options: SelectorOptions) {
        const { narrowLink, random } = options;
        this.routing = narrowLink && new ZoneRouting({ ...narrowLink, random });
    }

    /**
     * Returns undefined if no untried backend server is known, or none that is worth an attempt.
     * @param tried nodes at which the request was already attempted
     */
    public select(call: SelectedCall, tried: ReadonlySet<string>): RoutableBackend | undefined {
        const { backendsOf, clock, narrowLink, random, statistics, views } = this.options;
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
        if (!this.routing) {
            return pickBackend(input);
        }
        const choice = this.routing.choose(call, input);
        if (choice) {
            narrowLink?.onChoice(service, choice.backend.zone, choice.reason);
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

    /** True if the backend server has a free slot as far as this node knows. */
    public hasFreeSlot(backend: RoutableBackend): boolean {
        const { fromOtherNodes, outstanding } = this.options.views.viewOf(backend);
        return outstanding + fromOtherNodes < backend.slots;
    }

    /** True if requests to this backend server leave the zone and this node's link is narrow. */
    public leavesZone({ zone }: RoutableBackend): boolean {
        const { narrowLink } = this.options;
        return narrowLink !== undefined && zone !== narrowLink.zone;
    }
}
