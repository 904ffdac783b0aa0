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
    /** Returns the backend servers that gossip has announced. */
    readonly backends: () => readonly RoutableBackend[];
};

/** Creates a host whose node chooses backend servers by the policy. */
export const createZoneHost = (options: HostOptions): ZoneHost => {
    const { backends, clock, index, linkBytesPerMs, policy, random, slots, zone } = options;
    const nodeId = `node-${zone}-${index}`;
    const views = new BackendViews();
    const statistics = new RouteStatistics();
    const backendsOf = () => splitByZone(backends(), `${zone}`);
    const narrowLink = { zone: `${zone}`, linkBytesPerMs, pricePerKilobyte: 0.005, onChoice: () => undefined };
    const selector = new BackendSelector({
        clock,
        random,
        views,
        statistics,
        backendsOf,
        stableBackendsOf: backendsOf,
        narrowLink: policy === "price" ? narrowLink : undefined,
    });
    const fill = fillByCapacity();
    return {
        zone,
        views,
        statistics,
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
            policy === "capacity"
                ? fill(
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
