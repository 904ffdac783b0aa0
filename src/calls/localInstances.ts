import { Departure } from "./Departure";
import { LocalInstance } from "./LocalInstance";

/** What a backend server says of itself. */
type Announcement = Omit<LocalInstance, "leavingSinceMs" | "warmAtMs"> & {
    readonly leaving: boolean;
    readonly coldRemainingMs: number;
};

/** Longer ago than any time to leave. */
const LONG_AGO_MS = Number.NEGATIVE_INFINITY;

/** True if an announcement is older news than what is known, or lacks the proof that it is newer. */
const isStale = (present: LocalInstance | undefined, { bornMs, id, sequence }: Announcement): boolean => {
    if (!present) {
        return false;
    }
    if (present.bornMs !== bornMs) {
        return bornMs < present.bornMs;
    }
    return present.id === id && sequence <= present.sequence;
};

/** One start of an instance. */
type Start = Pick<LocalInstance, "bornMs" | "id">;

/** True if the name, which may leave the time of the start open as 0, stands for this start. */
const names = (name: Start, start: Start): boolean =>
    name.id === start.id && (name.bornMs === 0 || name.bornMs === start.bornMs);

/**
 * Since when a start that was not known before leaves. One that says so with the first word that is heard of it said it
 * to an earlier process of this node, nobody knows when.
 */
const firstLeavingSinceMs = (heard: Announcement, departure: Departure | undefined): number | undefined => {
    if (departure && names(departure, heard)) {
        return departure.sinceMs;
    }
    return heard.leaving ? LONG_AGO_MS : undefined;
};

/**
 * Takes in an announcement. Leaving is final for one start of an instance: a later "ready" of the same start
 * does not bring it back.
 * @param departure that was heard before
 */
const announce = (
    present: LocalInstance | undefined,
    heard: Announcement,
    nowMs: number,
    departure?: Departure,
): LocalInstance | undefined => {
    if (isStale(present, heard)) {
        return present;
    }
    const { coldRemainingMs, leaving, ...instance } = heard;
    const known = present?.id === heard.id && present.bornMs === heard.bornMs ? present : undefined;
    const leavingSinceMs = known
        ? known.leavingSinceMs ?? (leaving ? nowMs : undefined)
        : firstLeavingSinceMs(heard, departure);
    return { ...instance, leavingSinceMs, warmAtMs: nowMs + coldRemainingMs };
};

const isKnown = (present: LocalInstance | undefined, id: string, bornMs: number): present is LocalInstance =>
    present !== undefined && names({ id, bornMs }, present);

/** The instance says that it leaves for good. Returns what is present unchanged if that is another one. */
const leave = (
    present: LocalInstance | undefined,
    id: string,
    bornMs: number,
    nowMs: number,
): LocalInstance | undefined => {
    if (!isKnown(present, id, bornMs)) {
        return present;
    }
    return { ...present, leavingSinceMs: present.leavingSinceMs ?? nowMs };
};

/** Decisions on the backend server of this host. */
export const localInstances = { announce, isKnown, leave } as const;
