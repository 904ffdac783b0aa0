import { LocalInstance } from "./LocalInstance";

/** What a backend server announces about itself. */
type Announcement = Omit<LocalInstance, "announcedAtMs" | "drainingSinceMs" | "isGone" | "warmAtMs"> & {
    /** True if the backend server is draining. */
    readonly leaving: boolean;
    /** Time until slow start ends. */
    readonly coldRemainingMs: number;
};

/** A time so long ago that any grace period for draining is over. */
const BEFORE_ANY_GRACE_MS = Number.NEGATIVE_INFINITY;

/** Instances announce themselves at least every two seconds. One of which two announcements are missing is silent. */
const SILENT_AFTER_MS = 4_000;

/** True if an announcement is of an earlier start than the current one, or is not newer within the same start. */
const isStale = (current: LocalInstance | undefined, { bornMs, id, sequence }: Announcement): boolean => {
    if (!current) {
        return false;
    }
    if (current.bornMs !== bornMs) {
        return bornMs < current.bornMs;
    }
    return current.id === id && sequence <= current.sequence;
};

/** Identifies one start of an instance. */
type Start = Pick<LocalInstance, "bornMs" | "id">;

/** True if the reference means this start. A `bornMs` of 0 in the reference means any start of that instance. */
const identifies = (reference: Start, start: Start): boolean =>
    reference.id === start.id && (reference.bornMs === 0 || reference.bornMs === start.bornMs);

const isKnown = (current: LocalInstance | undefined, id: string, bornMs: number): current is LocalInstance =>
    current !== undefined && identifies({ id, bornMs }, current);

/** True if a message without a start can be of the backend server of this host, which has not stated one either. */
const mayOmitStart = (current: LocalInstance | undefined): boolean => !current || current.bornMs === 0;

/**
 * Marks the instance as draining for good. A deregistration of another instance or start changes nothing.
 * @param sinceMs when it left
 */
const deregister = (
    current: LocalInstance | undefined,
    id: string,
    bornMs: number,
    sinceMs: number,
): LocalInstance | undefined => {
    if (!isKnown(current, id, bornMs)) {
        return current;
    }
    return { ...current, drainingSinceMs: current.drainingSinceMs ?? sinceMs };
};

/**
 * Applies an announcement. Draining is final for one start of an instance: a later "ready" of the same start does not
 * revert it. If the first announcement of a start says that it is draining, it told that to an earlier process of this
 * node, at an unknown time.
 * @param leftAtMs when the start left, if it did so before its first announcement to this process
 */
const announce = (
    current: LocalInstance | undefined,
    announcement: Announcement,
    nowMs: number,
    leftAtMs?: number,
): LocalInstance | undefined => {
    if (isStale(current, announcement)) {
        // Draining is final, so it counts in whatever order it arrives.
        return announcement.leaving ? deregister(current, announcement.id, announcement.bornMs, nowMs) : current;
    }
    const { coldRemainingMs, leaving, ...instance } = announcement;
    const sameStart = current?.id === announcement.id && current.bornMs === announcement.bornMs ? current : undefined;
    const drainingSinceMs = sameStart
        ? sameStart.drainingSinceMs ?? (leaving ? nowMs : undefined)
        : leftAtMs ?? (leaving ? BEFORE_ANY_GRACE_MS : undefined);
    return { ...instance, announcedAtMs: nowMs, drainingSinceMs, warmAtMs: nowMs + coldRemainingMs };
};

/**
 * Takes in that the instance accepts no connections. It has ended if it has also been silent: one that is full may
 * refuse connections too, and announcements may be late.
 */
const refuseConnections = (
    current: LocalInstance | undefined,
    id: string,
    nowMs: number,
): LocalInstance | undefined => {
    const isGone = current?.id === id && current.announcedAtMs !== undefined
        && nowMs - current.announcedAtMs >= SILENT_AFTER_MS;
    return current && isGone ? { ...current, isGone } : current;
};

/** Updates of the state of this host's backend server. */
export const localInstances = { announce, isKnown, mayOmitStart, deregister, refuseConnections } as const;
