import { Clock } from "../../core/Clock";
import { RandomSource } from "../../core/RandomSource";
import { CallResult } from "../CallResult";
import { RoutableBackend } from "../RoutableBackend";
import { slotQueue } from "../slotQueue";
import { createZoneHost } from "./createZoneHost";
import { logNormal } from "./logNormal";
import { ZoneHost } from "./ZoneHost";
import { ZonePolicy } from "./ZonePolicy";

type Load = {
    /** Work offered in a zone at a time, divided by what a zone with all of its backend servers can do. */
    readonly loadAt: (zone: number, atMs: number) => number;
    /** False while the zone's backend servers are gone. All are there by default. */
    readonly isServing?: (zone: number, atMs: number) => boolean;
    /** True while the zone is cut off from the others. */
    readonly isCutOff?: (zone: number, atMs: number) => boolean;
    readonly linkBytesPerMs?: number;
    readonly durationMs?: number;
    /** How fast the backend server of each host of each zone is, 0 for a host without one; four of speed 1 by default. */
    readonly speeds?: readonly (readonly number[])[];
    readonly slots?: number;
    readonly routes?: readonly Route[];
};

/** Requests of one kind. Their shares add up to 1. */
type Route = {
    readonly name: string;
    readonly share: number;
    readonly priority: number;
    readonly targetMs: number;
    readonly workMs: number;
    readonly requestBytes: number;
    readonly responseBytes: number;
};

type Ended = {
    readonly zone: number;
    readonly route: string;
    readonly atMs: number;
    readonly outcome: "on-time" | "late" | "refused";
    readonly leftZone: boolean;
};

const defaultRoutes: readonly Route[] = [
    { name: "small", share: 0.7, priority: 0, targetMs: 250, workMs: 40, requestBytes: 400, responseBytes: 600 },
    { name: "large", share: 0.3, priority: 2, targetMs: 600, workMs: 60, requestBytes: 12_000, responseBytes: 3_000 },
];

const answerOf = ({ responseBytes }: Route): CallResult => ({
    kind: "answered",
    answer: { status: 200, reason: "OK", headers: [], body: Buffer.alloc(responseBytes) },
});

const ZONES = 3;
const DEFAULT_SPEEDS = [1, 1, 1, 1];
const DEFAULT_SLOTS = 4;
const DEADLINE_MS = 2_000;
const LATENCY_MS = { own: 0.3, other: 1.2 } as const;
const LINK_TIMEOUT_MS = 100;
const MAXIMUM_ATTEMPTS = 3;
/** 4 Mbit/s. */
const LINK_BYTES_PER_MS = 500;
const WARM_UP_MS = 2_000;

/** Plays a seeded load on the modules that choose and admit, with three zones of four hosts each. */
export const playZones = (policy: ZonePolicy, load: Load, seed: number) => {
    const random = new RandomSource(seed);
    const { durationMs = 12_000, linkBytesPerMs = LINK_BYTES_PER_MS, routes = defaultRoutes } = load;
    const { slots = DEFAULT_SLOTS, speeds = Array.from({ length: ZONES }, () => DEFAULT_SPEEDS) } = load;
    const meanWorkMs = routes.reduce((sum, { share, workMs }) => sum + share * workMs, 0);
    const answers = new Map(routes.map((route) => [route.name, answerOf(route)]));
    const requests = new Map(routes.map(({ name, requestBytes }) => [
        name,
        { route: name, headers: [], body: Buffer.alloc(requestBytes) },
    ]));
    let nowMs = 0;
    let crossBytes = 0;
    const ended: Ended[] = [];
    const events: (() => void)[][] = [];
    const at = (timeMs: number, run: () => void): void => {
        const slot = Math.max(Math.floor(nowMs), Math.ceil(timeMs));
        (events[slot] ??= []).push(run);
    };
    const clock: Clock = { monotonicMs: () => nowMs, wallMs: () => nowMs };
    const hosts: ZoneHost[] = [];
    // Gossip tells a second after the loss of a zone that its backend servers are gone.
    const backends = (): readonly RoutableBackend[] =>
        hosts.filter(({ speed, zone }) => speed > 0 && (load.isServing?.(zone, nowMs - 1_000) ?? true))
            .map(({ backend }) => backend);
    const isServing = (zone: number): boolean => load.isServing?.(zone, nowMs) ?? true;
    const isLinked = (left: number, right: number): boolean =>
        left === right || !(load.isCutOff?.(left, nowMs) || load.isCutOff?.(right, nowMs));

    for (let zone = 0; zone < ZONES; zone += 1) {
        speeds[zone].forEach((speed, index) =>
            hosts.push(createZoneHost({ policy, zone, index, clock, random, linkBytesPerMs, slots, speed, backends }))
        );
    }

    /** Sends bytes over the sender's link and calls `onArrival` at the other host. */
    const transfer = (from: ZoneHost, to: ZoneHost, bytes: number, onArrival: () => void): void => {
        const crosses = from.zone !== to.zone;
        crossBytes += crosses ? bytes : 0;
        from.linkFreeAtMs = from === to ? nowMs : Math.max(nowMs, from.linkFreeAtMs) + bytes / linkBytesPerMs;
        at(from.linkFreeAtMs + (crosses ? LATENCY_MS.other : LATENCY_MS.own), onArrival);
    };

    let lastKey = 0;
    const receive = (
        from: ZoneHost,
        to: ZoneHost,
        route: Route,
        targetAtMs: number,
        reply: (result: CallResult) => void,
    ) => {
        const { admission: otherZones, waiting } = to;
        const call = {
            priority: route.priority,
            fromOtherZone: from.marksOtherZone(to.backend),
            targetRemainingMs: targetAtMs - nowMs,
        };
        const refuse = (): void => reply({ kind: "not-run", reason: "no-room", retryAfterMs: 0 });
        otherZones.record(from.backend.nodeId, call, nowMs);
        if (otherZones.mustRefuse(call, to.queue, nowMs)) {
            refuse();
            return;
        }
        lastKey += 1;
        const key = lastKey;
        const applyProgress = ({ expired, started, state }: ReturnType<typeof slotQueue.advance>): void => {
            to.queue = state;
            expired.forEach((each) => waiting.get(each)?.(false));
            started.forEach((each) => waiting.get(each)?.(true));
        };
        const run = (): void => {
            const workMs = logNormal(random, route.workMs) / to.speed;
            at(nowMs + workMs, () => {
                applyProgress(slotQueue.release(to.queue, route.name, workMs, nowMs));
                reply(answers.get(route.name)!);
            });
        };
        const times = { arrivedMs: nowMs, targetAtMs, deadlineMs: targetAtMs + DEADLINE_MS };
        const admission = slotQueue.offer(
            to.queue,
            { key, route: route.name, priority: otherZones.priorityOf(call), ...times },
            nowMs,
        );
        to.queue = admission.state;
        if (admission.kind === "refuse") {
            refuse();
        }
        else if (admission.kind === "start") {
            run();
        }
        else {
            waiting.set(key, (isStarted) => {
                waiting.delete(key);
                (isStarted ? run : refuse)();
            });
        }
    };

    const attempt = (from: ZoneHost, route: Route, startMs: number, tried: Set<string>, leftZone = false): void => {
        const targetAtMs = startMs + route.targetMs;
        const finish = (outcome: Ended["outcome"], left: boolean): void => {
            ended.push({ zone: from.zone, route: route.name, atMs: startMs, outcome, leftZone: left });
        };
        const choice = tried.size < MAXIMUM_ATTEMPTS
            ? from.select({ routeName: route.name, priority: route.priority }, targetAtMs, tried)
            : undefined;
        const to = hosts.find(({ backend }) => backend.nodeId === choice?.nodeId);
        if (!choice || !to) {
            finish("refused", leftZone);
            return;
        }
        tried.add(choice.nodeId);
        const { instanceId, nodeId } = choice;
        const ownId = from.backend.nodeId;
        from.views.begin(nodeId, instanceId, nowMs);
        const sentAtMs = nowMs;
        const left = leftZone || to.zone !== from.zone;
        const onResult = (result: CallResult): void => {
            from.views.end(nodeId, instanceId, result, nowMs);
            from.statistics.recordAttempt(requests.get(route.name)!, result, nowMs - sentAtMs);
            if (result.kind === "answered") {
                finish(nowMs <= targetAtMs ? "on-time" : "late", left);
                return;
            }
            attempt(from, route, startMs, tried, left);
        };
        if (!isServing(to.zone) || !isLinked(from.zone, to.zone)) {
            at(nowMs + LINK_TIMEOUT_MS, () => onResult({ kind: "not-run", reason: "link-down", retryAfterMs: 0 }));
            return;
        }
        transfer(from, to, route.requestBytes, () => {
            const count = (to.outstandingOf.get(ownId) ?? 0) + 1;
            to.outstandingOf.set(ownId, count);
            receive(from, to, route, targetAtMs, (result) => {
                to.outstandingOf.set(ownId, (to.outstandingOf.get(ownId) ?? 1) - 1);
                const { active, routeServiceMs, serviceMs, waiting } = to.queue;
                const report = {
                    instanceId,
                    bornMs: 0,
                    isDraining: false,
                    total: active + waiting.length,
                    yours: to.outstandingOf.get(ownId) ?? 0,
                    serviceMs,
                    routeServiceMs: routeServiceMs.get(route.name),
                    failureShare: 0,
                    ...to.admission.stateRoom(ownId, to.queue, nowMs),
                };
                transfer(to, from, result.kind === "answered" ? route.responseBytes : 100, () => {
                    from.views.updateLoad(nodeId, report, nowMs);
                    if (report.routeServiceMs !== undefined) {
                        from.statistics.recordServiceTime(route.name, report.routeServiceMs);
                    }
                    onResult(result);
                });
            });
        });
    };

    const drawRoute = (fraction: number): Route => {
        let remaining = fraction;
        return routes.find(({ share }) => (remaining -= share) < 0) ?? routes[0];
    };
    const arrive = (host: ZoneHost): void => {
        const meanGapMs = meanWorkMs / slots / Math.max(0.01, load.loadAt(host.zone, nowMs));
        const nextMs = nowMs - Math.log(1 - random.fraction()) * meanGapMs;
        const route = drawRoute(random.fraction());
        attempt(host, route, nowMs, new Set());
        if (nextMs < durationMs) {
            at(nextMs, () => arrive(host));
        }
    };
    hosts.forEach((host) => at(random.fraction() * 20, () => arrive(host)));
    for (let tick = 0; tick < durationMs + DEADLINE_MS; tick += 1) {
        nowMs = tick;
        for (let index = 0; index < (events[tick]?.length ?? 0); index += 1) {
            events[tick][index]();
        }
        delete events[tick];
    }

    const counted = ended.filter(({ atMs }) => atMs >= WARM_UP_MS);
    const shareOf = (
        predicate: (request: Ended) => boolean,
        among: (request: Ended) => boolean = () => true,
    ): number => {
        const all = counted.filter(among);
        return all.length > 0 ? all.filter(predicate).length / all.length : 0;
    };
    const leftBySecond = (zone: number): readonly number[] =>
        Array.from({ length: Math.floor((durationMs - WARM_UP_MS) / 1_000) }, (_, second) =>
            shareOf(
                ({ leftZone }) => leftZone,
                (request) => request.zone === zone && Math.floor((request.atMs - WARM_UP_MS) / 1_000) === second,
            ));
    return { crossBytes, shareOf, leftBySecond, requests: counted.length } as const;
};
