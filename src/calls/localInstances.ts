import { LocalInstance } from "./LocalInstance";

/** What a backend server says of itself. */
type Announcement = Omit<LocalInstance, "leavingSinceMs" | "warmAtMs"> & {
    readonly leaving: boolean;
    readonly coldRemainingMs: number;
};

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

/**
 * Takes in an announcement. Leaving is final for one start of an instance: a later "ready" of the same start
 * does not bring it back.
 */
const announce = (
    present: LocalInstance | undefined,
    heard: Announcement,
    nowMs: number,
): LocalInstance | undefined => {
    if (isStale(present, heard)) {
        return present;
    }
    const { coldRemainingMs, leaving, ...instance } = heard;
    const sameStart = present?.id === heard.id && present.bornMs === heard.bornMs;
    const leftBefore = sameStart ? present.leavingSinceMs : undefined;
    return {
        ...instance,
        leavingSinceMs: leftBefore ?? (leaving ? nowMs : undefined),
        warmAtMs: nowMs + coldRemainingMs,
    };
};

/** The instance says that it leaves for good. Returns it unchanged if another one has taken its place. */
const leave = (
    present: LocalInstance | undefined,
    id: string,
    bornMs: number,
    nowMs: number,
): LocalInstance | undefined => {
    if (!present || present.id !== id || (bornMs !== 0 && present.bornMs !== bornMs)) {
        return present;
    }
    return { ...present, leavingSinceMs: present.leavingSinceMs ?? nowMs };
};

/** Decisions on the backend server of this host. */
export const localInstances = { announce, leave } as const;
