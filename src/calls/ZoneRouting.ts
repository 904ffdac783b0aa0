import { RandomSource } from "../core/RandomSource";
import { BackendView } from "./BackendView";
import { estimateLatency } from "./estimateLatency";
import { isInBackoff } from "./isInBackoff";
import { pickBackend } from "./pickBackend";
import { RoutableBackend } from "./RoutableBackend";
import { SelectedCall } from "./SelectedCall";
import { zoneDecision } from "./zoneDecision";
import { ZonePressure } from "./ZonePressure";
import { ZoneReason } from "./ZoneReason";

type PickInput = Parameters<typeof pickBackend>[0];

/** A chosen backend server and why it is in its zone. */
type Choice = {
    readonly backend: RoutableBackend;
    readonly reason: ZoneReason;
};

type RoutingOptions = {
    readonly linkBytesPerMs: number;
    /** What a kilobyte to another zone costs, as a share of what a late response costs. */
    readonly pricePerKilobyte: number;
    readonly random: RandomSource;
};

/** Random draws for backend servers of other zones; each considered one has room as far as this node knows. */
const OTHER_ZONE_DRAWS = 8;
const OTHER_ZONE_SAMPLES = 2;

/** A stated room counts for this long: about the time in which a slot becomes free. */
const ROOM_VALID_MS = 500;

/**
 * After this many attempts in its own zone, a request counts as refused there; after one if requests of its class leave
 * the zone already.
 */
const OWN_ZONE_ATTEMPTS = 2;

/** Classes are removed after this long without a request. */
const IDLE_CLASS_MS = 60_000;

const hasRoom = ({ otherZoneRoom, updatedAtMs }: BackendView, nowMs: number): boolean =>
    otherZoneRoom === undefined || otherZoneRoom > 0 || nowMs - updatedAtMs > ROOM_VALID_MS;

/**
 * Chooses between the own zone and the others for nodes with narrow links: requests stay in their zone unless
 * `zoneDecision` finds that too costly for their callers. Holds the pressure of each service and class.
 */
export class ZoneRouting {
    private readonly pressures = new Map<string, ZonePressure>();
    private sweptAtMs = 0;

    public constructor(private readonly options: RoutingOptions) {}

    /** Returns undefined if no backend server is known that may serve the request: it is then refused in its zone. */
    public choose({ priority, service }: SelectedCall, input: PickInput): Choice | undefined {
        const { backends: { sameZone }, nowMs, tried, viewOf } = input;
        const home = pickBackend({ ...input, backends: { sameZone, otherZones: [] } });
        const sample = this.sampleOtherZones(input);
        const away = pickBackend({ ...input, backends: { sameZone: [], otherZones: sample.usable } });
        if (sameZone.length === 0) {
            const backend = away ?? sample.fallback;
            return backend && { backend, reason: "no-backend" };
        }
        if (!home || isInBackoff(viewOf(home), nowMs)) {
            return this.leave(input, away, home ? "unreachable" : "refused")
                ?? (home && { backend: home, reason: "own-zone" });
        }
        // By version too, so that a slow version under rollout does not move the requests of the others.
        const key = `${service}/${home.version}/${priority}`;
        const pressure = this.pressures.get(key) ?? zoneDecision.create(nowMs);
        if (tried.size > 0) {
            this.pressures.set(key, zoneDecision.recordRefusal(pressure));
            const ownAttempts = sameZone.filter(({ nodeId }) => tried.has(nodeId)).length;
            const mayLeave = ownAttempts >= (pressure.isLeaving ? 1 : OWN_ZONE_ATTEMPTS);
            return (mayLeave ? this.leave(input, away, "refused") : undefined) ?? { backend: home, reason: "own-zone" };
        }
        const decisionInput = this.decisionInput(input, home, away);
        const { share, state } = zoneDecision.decide(pressure, decisionInput);
        this.pressures.set(key, state);
        this.removeIdle(nowMs);
        return away && share > 0 && this.options.random.fraction() < share
            ? { backend: away, reason: "late" }
            : { backend: home, reason: "own-zone" };
    }

    /** Returns the choice of another zone if an attempt there is worth its cost, and none was made before. */
    private leave(input: PickInput, away: RoutableBackend | undefined, reason: ZoneReason): Choice | undefined {
        const { backends: { otherZones }, tried } = input;
        const wasAway = reason === "refused" && otherZones.some(({ nodeId }) => tried.has(nodeId));
        const isWorth = away && !wasAway && zoneDecision.isWorthTrying(this.decisionInput(input, away, away));
        return isWorth ? { backend: away, reason } : undefined;
    }

    private decisionInput(input: PickInput, home: RoutableBackend, away: RoutableBackend | undefined) {
        const { averageBytes, backends: { sameZone }, nowMs, routeServiceMs, targetRemainingMs, viewOf } = input;
        const known = sameZone.flatMap((backend) => viewOf(backend).serviceMs ?? []);
        const averageMs = known.length > 0 ? known.reduce((sum, ms) => sum + ms, 0) / known.length : undefined;
        const toDestination = (backend: RoutableBackend) => {
            const view = viewOf(backend);
            const { decay, runMs, waitMs } = estimateLatency({
                backend,
                view,
                averageMs,
                nowMs,
                routeServiceMs,
            });
            return {
                expectedMs: runMs + waitMs,
                failureShare: view.failureShare * decay,
                infoAgeMs: nowMs - view.updatedAtMs,
            };
        };
        const { linkBytesPerMs, pricePerKilobyte } = this.options;
        return {
            nowMs,
            targetRemainingMs,
            averageBytes,
            linkBytesPerMs,
            pricePerKilobyte,
            home: toDestination(home),
            away: away && toDestination(away),
        };
    }

    private sampleOtherZones({ backends: { otherZones }, nowMs, tried, viewOf }: PickInput) {
        const usable = new Set<RoutableBackend>();
        let fallback: RoutableBackend | undefined;
        const draws = otherZones.length > 0 ? OTHER_ZONE_DRAWS : 0;
        for (let draw = 0; draw < draws && usable.size < OTHER_ZONE_SAMPLES; draw += 1) {
            const backend = this.options.random.pick(otherZones);
            const view = viewOf(backend);
            if (tried.has(backend.nodeId) || !hasRoom(view, nowMs)) {
                continue;
            }
            if (isInBackoff(view, nowMs)) {
                fallback = backend;
                continue;
            }
            usable.add(backend);
        }
        return { usable: [...usable], fallback };
    }

    private removeIdle(nowMs: number): void {
        if (nowMs - this.sweptAtMs < IDLE_CLASS_MS) {
            return;
        }
        this.sweptAtMs = nowMs;
        this.pressures.forEach(({ updatedAtMs }, key) => {
            if (nowMs - updatedAtMs > IDLE_CLASS_MS) {
                this.pressures.delete(key);
            }
        });
    }
}
