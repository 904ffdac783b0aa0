import { CallRequest } from "./CallRequest";
import { slotQueue } from "./slotQueue";

type Queue = ReturnType<typeof slotQueue.create>;

/** Requests from nodes that did not state their zone, or that have wide links, count as those of the own zone. */
type ZonedRequest = Pick<CallRequest, "fromOtherZone" | "priority" | "targetRemainingMs">;

/** Share of the slots that is kept free for the zone's own callers, and at least one slot if there are several. */
const RESERVED_SHARE = 0.2;

/** Requests of other zones that may wait while no slots are reserved, as a share of the slots. */
const WAITING_SHARE = 0.5;

/** Added to the priority of a request of another zone: more than any route's, so that it waits behind all own ones. */
const OTHER_ZONE_PRIORITY = 1_000;

/** Slots are reserved if the zone's own callers would otherwise wait longer than this share of their target. */
const OWN_WAIT_SHARE = 0.15;

/** Time constant of the rate of the own callers' requests, and the weight of a new request in their average target. */
const RATE_MS = 2_000;
const TARGET_WEIGHT = 0.05;

/** The load of the own callers counts as at most this, so that the expected wait stays finite. */
const MAXIMUM_LOAD = 0.99;

/**
 * Admits requests of other zones to a backend server after those of its own zone. While the own callers load it, some
 * slots are reserved for them and requests of other zones never wait; otherwise a few may wait behind the own ones.
 */
export class OtherZoneAdmission {
    /** Requests of the own callers, each counted less the longer ago it arrived. */
    private ownRequests = 0;
    private ownRequestAtMs = 0;
    private ownTargetMs: number | undefined;
    /** Nodes of other zones that have sent requests; at most all nodes that hold a link to this one. */
    private readonly otherNodes = new Set<string>();

    public record(from: string, { fromOtherZone, targetRemainingMs }: ZonedRequest, nowMs: number): void {
        if (fromOtherZone) {
            this.otherNodes.add(from);
            return;
        }
        this.ownRequests = this.recentOwnRequests(nowMs) + 1;
        this.ownRequestAtMs = nowMs;
        const targetMs = this.ownTargetMs ?? targetRemainingMs;
        this.ownTargetMs = targetMs + TARGET_WEIGHT * (Math.max(0, targetRemainingMs) - targetMs);
    }

    public mustRefuse({ fromOtherZone }: ZonedRequest, queue: Queue, nowMs: number): boolean {
        return fromOtherZone === true && this.room(queue, nowMs) <= 0;
    }

    /** The priority with which a request waits here. */
    public priorityOf({ fromOtherZone, priority }: Pick<ZonedRequest, "fromOtherZone" | "priority">): number {
        return fromOtherZone ? priority + OTHER_ZONE_PRIORITY : priority;
    }

    /** Returns what the load report for a node states: nothing unless that node is in another zone. */
    public stateRoom(node: string, queue: Queue, nowMs: number): { readonly otherZoneRoom?: number; } {
        return this.otherNodes.has(node) ? { otherZoneRoom: Math.max(0, this.room(queue, nowMs)) } : {};
    }

    private room(queue: Queue, nowMs: number): number {
        const { active, slots, waiting } = queue;
        if ((slotQueue.pacingMs(queue, 1, nowMs) ?? 0) > 0) {
            return 0;
        }
        const reserved = this.reserved(queue, nowMs);
        if (reserved > 0) {
            return waiting.length > 0 ? 0 : slots - reserved - active;
        }
        return slots + Math.ceil(slots * WAITING_SHARE) - active - waiting.length;
    }

    private recentOwnRequests(nowMs: number): number {
        return this.ownRequests * Math.exp(-(nowMs - this.ownRequestAtMs) / RATE_MS);
    }

    /**
     * If all slots are always taken, own callers wait as in a queue with priorities: until a slot becomes free, and
     * behind the own callers before them.
     */
    private reserved({ serviceMs, slots }: Queue, nowMs: number): number {
        const slotMs = serviceMs / slots;
        const ownLoad = Math.min(MAXIMUM_LOAD, (this.recentOwnRequests(nowMs) / RATE_MS) * slotMs);
        const ownWaitMs = slotMs / (1 - ownLoad);
        const isNeeded = slots > 1 && this.ownTargetMs !== undefined && ownWaitMs > this.ownTargetMs * OWN_WAIT_SHARE;
        return isNeeded ? Math.ceil(slots * RESERVED_SHARE) : 0;
    }
}
