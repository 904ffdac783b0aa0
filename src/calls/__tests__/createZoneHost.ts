import { Clock } from "../../core/Clock";
import { RandomSource } from "../../core/RandomSource";
import { BackendSelector } from "../BackendSelector";
import { BackendViews } from "../BackendViews";
import { OtherZoneAdmission } from "../OtherZoneAdmission";
import { pickBackend } from "../pickBackend";
import { RoutableBackend } from "../RoutableBackend";
import { RouteStatistics } from "../RouteStatistics";
import { slotQueue } from "../slotQueue";
import { splitByZone } from "../splitByZone";
import { fillByCapacity } from "./fillByCapacity";
import { ZoneHost } from "./ZoneHost";
import { ZonePolicy } from "./ZonePolicy";

type HostOptions = {
    readonly policy: ZonePolicy;
    readonly zone: number;
    readonly index: number;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly linkBytesPerMs: number;
    readonly slots: number;
    readonly speed: number;
    /** Returns the backend servers that gossip has announced. */
    readonly backends: () => readonly RoutableBackend[];
};

/** Creates a host whose node chooses backend servers by the policy. */
export const createZoneHost = (options: HostOptions): ZoneHost => {
    const { backends, clock, index, linkBytesPerMs, policy, random, slots, speed, zone } = options;
    const nodeId = `node-${zone}-${index}`;
    const views = new BackendViews();
    const statistics = new RouteStatistics();
    const backendsOf = () => splitByZone(backends(), `${zone}`);
    const selector = new BackendSelector({
        clock,
        random,
        views,
        statistics,
        backendsOf,
        stableBackendsOf: backendsOf,
        zone: `${zone}`,
        linkBytesPerMs,
        pricePerKilobyte: 0.005,
        onChoice: () => undefined,
    });
    const alternative = policy === "price" ? undefined : policy === "threshold" ? pickBackend : fillByCapacity();
    const isOtherZone = (backend: RoutableBackend): boolean => backend.zone !== `${zone}`;
    const marksOtherZone = policy === "capacity" ? isOtherZone : selector.leavesZone.bind(selector);
    return {
        zone,
        speed,
        views,
        statistics,
        marksOtherZone: policy === "threshold" ? () => false : marksOtherZone,
        admission: new OtherZoneAdmission(),
        outstandingOf: new Map(),
        waiting: new Map(),
        queue: slotQueue.create(slots),
        linkFreeAtMs: 0,
        backend: {
            nodeId,
            address: nodeId,
            zone: `${zone}`,
            service: "s",
            version: "v1",
            instanceId: nodeId,
            bornMs: 0,
            slots,
            warmAtMs: 0,
        },
        select: ({ priority, routeName }, targetAtMs, tried) =>
            alternative
                ? alternative(
                    {
                        backends: backendsOf(),
                        viewOf: (backend: RoutableBackend) => views.viewOf(backend),
                        tried,
                        nowMs: clock.monotonicMs(),
                        targetRemainingMs: targetAtMs - clock.monotonicMs(),
                        averageBytes: statistics.averageBytes(routeName),
                        routeServiceMs: statistics.serviceMs(routeName),
                        random,
                    } satisfies Parameters<typeof pickBackend>[0],
                )
                : selector.select({ routeName, service: "s", priority, targetAtMs }, tried),
    };
};
