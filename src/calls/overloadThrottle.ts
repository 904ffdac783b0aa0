/** How many requests of one kind arrived at this node lately, and how many of them were not sent or found no room. */
type ThrottleState = {
    readonly requests: number;
    readonly refused: number;
    /** Both count less the longer ago they were recorded. */
    readonly updatedAtMs: number;
    /** Part of a request that is to be rejected, carried over to the next one. */
    readonly carried: number;
    /** Average of the retry-after times that backend servers stated lately. */
    readonly retryAfterMs: number;
};

type Decision = {
    readonly state: ThrottleState;
    readonly isRejected: boolean;
};

/** A request counts half after this time. */
const HALF_LIFE_MS = 500;

/**
 * A node sends at most this many requests for each one that is accepted, so that a request waits for each slot that becomes
 * free, and further ones cost no messages.
 */
const SENT_PER_ACCEPTED = 2;

/** With fewer recent requests the share that is accepted says little. */
const MINIMUM_REQUESTS = 8;

/** Limit of the share that is rejected: the others show whether there is room again. */
const MAXIMUM_SHARE = 0.8;

/** Weight of a new retry-after time in the average. */
const RETRY_AFTER_WEIGHT = 0.1;

const empty: ThrottleState = { requests: 0, refused: 0, updatedAtMs: 0, carried: 0, retryAfterMs: 0 };

const decay = (state: ThrottleState, nowMs: number): ThrottleState => {
    const factor = 0.5 ** ((nowMs - state.updatedAtMs) / HALF_LIFE_MS);
    return { ...state, requests: state.requests * factor, refused: state.refused * factor, updatedAtMs: nowMs };
};

/** The share of the requests that is to be rejected without an attempt. Requests in progress count as accepted. */
const rejectedShare = (state: ThrottleState, nowMs: number): number => {
    const { refused, requests } = decay(state, nowMs);
    const sent = SENT_PER_ACCEPTED * (requests - refused);
    return requests < MINIMUM_REQUESTS ? 0 : Math.min(MAXIMUM_SHARE, Math.max(0, 1 - sent / requests));
};

/**
 * Decides on a request that arrives. One that can't be in time is rejected whenever some of those are that can.
 * @param isLate true if a response can't be expected before the request's target
 */
const decide = (state: ThrottleState, isLate: boolean, nowMs: number): Decision => {
    const share = rejectedShare(state, nowMs);
    if (isLate && share > 0) {
        return { state, isRejected: true };
    }
    const carried = state.carried + share;
    const isRejected = carried >= 1;
    const decayed = decay(state, nowMs);
    return {
        state: {
            ...decayed,
            requests: decayed.requests + 1,
            refused: decayed.refused + (isRejected ? 1 : 0),
            carried: isRejected ? carried - 1 : carried,
        },
        isRejected,
    };
};

/** Records that a request that was sent found no room, and when its backend server expects to have some. */
const refuse = (state: ThrottleState, retryAfterMs: number, nowMs: number): ThrottleState => {
    const decayed = decay(state, nowMs);
    return {
        ...decayed,
        refused: decayed.refused + 1,
        retryAfterMs: state.retryAfterMs + RETRY_AFTER_WEIGHT * (retryAfterMs - state.retryAfterMs),
    };
};

/**
 * Rejects requests where callers enter as soon as backend servers refuse most of them, so that those that can't be served
 * cost no messages between nodes. Adaptive throttling by the client: Beyer et al., Site Reliability Engineering, ch. 21.
 */
export const overloadThrottle = { empty, rejectedShare, decide, refuse } as const;
