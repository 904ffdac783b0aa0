/** How often attempts of one kind were refused for want of capacity. Older ones count less. */
type RefusalShare = {
    readonly attempts: number;
    readonly refusals: number;
    readonly updatedAtMs: number;
};

/** An attempt counts half after this time, so that retries are back within 2 s of the end of an overload. */
const HALF_LIFE_MS = 500;

/** With fewer recent attempts the share says little. */
const MINIMUM_ATTEMPTS = 4;

/** Retries after a refusal at shares below each limit. Above the last one, another backend server hardly helps. */
const RETRIES_BELOW = [
    { share: 0.5, retries: 2 },
    { share: 0.75, retries: 1 },
] as const;

const empty: RefusalShare = { attempts: 0, refusals: 0, updatedAtMs: 0 };

const decay = ({ attempts, refusals, updatedAtMs }: RefusalShare, nowMs: number): RefusalShare => {
    const factor = 0.5 ** ((nowMs - updatedAtMs) / HALF_LIFE_MS);
    return { attempts: attempts * factor, refusals: refusals * factor, updatedAtMs: nowMs };
};

const record = (state: RefusalShare, refused: boolean, nowMs: number): RefusalShare => {
    const { attempts, refusals, updatedAtMs } = decay(state, nowMs);
    return { attempts: attempts + 1, refusals: refusals + (refused ? 1 : 0), updatedAtMs };
};

/** Returns how often a request that is refused may be tried at another backend server. */
const maximumRetries = (state: RefusalShare, nowMs: number): number => {
    const { attempts, refusals } = decay(state, nowMs);
    if (attempts < MINIMUM_ATTEMPTS) {
        return RETRIES_BELOW[0].retries;
    }
    return RETRIES_BELOW.find(({ share }) => refusals / attempts < share)?.retries ?? 0;
};

/**
 * Limits the attempts of a request when capacity is short: under overload each further attempt is most likely refused
 * too, and its messages delay the requests that can be served.
 */
export const refusalShare = { empty, record, maximumRetries } as const;
