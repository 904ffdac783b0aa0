import { LeaseStatus } from "./LeaseStatus";

/** What a node knows about its lease. All times are those of `elapsedTime`. */
type LeaseState = {
    /** Granted leases, newest version first. One that has a version as new and ends earlier than another is dropped. */
    readonly leases: readonly VersionLease[];
    /** When each renewal was sent, by number. Holds only those whose lease would not have expired. */
    readonly sentMs: ReadonlyMap<number, number>;
    readonly lastNumber: number;
    readonly lastSentMs: number;
    /** When the first renewal since the last answer was sent; undefined if the last one was answered. */
    readonly unansweredSinceMs: number | undefined;
    /** Address of the control replica that answered last. */
    readonly grantor: string | undefined;
};

/** Permits requests with keys as long as the node holds this version of the configuration or a newer one. */
type VersionLease = {
    readonly version: number;
    readonly expiresMs: number;
};

/** A renewal that is due. */
type Renewal = {
    readonly number: number;
    /** The control replica to send it to; undefined for all of them. */
    readonly address: string | undefined;
};

/** An answer of the leader to a renewal. */
type Grant = {
    readonly number: number;
    /** The version of the configuration that was accepted last. */
    readonly version: number;
};

/**
 * Part of the revocation time for which a lease is valid. The rest covers clocks that run slow and the time until the
 * decision on a request has taken effect.
 */
const LEASE_FRACTION = 0.9;

/** Part of the revocation time between renewals: several may be lost before a lease expires. */
const RENEWAL_FRACTION = 0.1;

/** A replica that does not answer within this time may have lost the leadership, so the next renewal goes to all. */
const ANSWER_TIMEOUT_MS = 300;

/** Renewals that are valid at the same time, with a margin: ten are sent in a revocation time. */
const MAXIMUM_LEASES = 20;

const initial: LeaseState = {
    leases: [],
    sentMs: new Map(),
    lastNumber: 0,
    lastSentMs: Number.NEGATIVE_INFINITY,
    unansweredSinceMs: undefined,
    grantor: undefined,
};

const renewalIntervalMs = (revocationMs: number): number => revocationMs * RENEWAL_FRACTION;

/** Returns the renewal that is to be sent now, or undefined if none is due. */
const renew = (
    state: LeaseState,
    nowMs: number,
    revocationMs: number,
): { readonly state: LeaseState; readonly renewal: Renewal | undefined; } => {
    const intervalMs = renewalIntervalMs(revocationMs);
    const { grantor, lastSentMs, unansweredSinceMs } = state;
    const waitMs = unansweredSinceMs === undefined ? intervalMs : Math.min(intervalMs, ANSWER_TIMEOUT_MS);
    if (nowMs - lastSentMs < waitMs) {
        return { state, renewal: undefined };
    }
    const number = state.lastNumber + 1;
    const isUnanswered = unansweredSinceMs !== undefined && nowMs - unansweredSinceMs >= ANSWER_TIMEOUT_MS;
    const pending = [...state.sentMs].filter(([, sentMs]) => nowMs - sentMs < revocationMs * LEASE_FRACTION);
    return {
        state: {
            ...state,
            sentMs: new Map([...pending, [number, nowMs]]),
            lastNumber: number,
            lastSentMs: nowMs,
            unansweredSinceMs: unansweredSinceMs ?? nowMs,
        },
        renewal: { number, address: isUnanswered ? undefined : grantor },
    };
};

/**
 * Applies an answer. The lease begins when its renewal was sent, not when the answer arrives: what was accepted in
 * between may be missing from the version of the answer. A lease of a version that the node does not hold yet leaves
 * earlier ones valid: what they permit was accepted before their own renewal was sent.
 */
const grant = (state: LeaseState, address: string, { number, version }: Grant, revocationMs: number): LeaseState => {
    const sentMs = state.sentMs.get(number);
    if (sentMs === undefined) {
        return state;
    }
    const granted = { version, expiresMs: sentMs + revocationMs * LEASE_FRACTION };
    const isCovered = state.leases.some((lease) => lease.version <= version && lease.expiresMs >= granted.expiresMs);
    const others = state.leases.filter((lease) => lease.version < version || lease.expiresMs > granted.expiresMs);
    return {
        ...state,
        leases: isCovered
            ? state.leases
            : [...others, granted].sort((left, right) => right.version - left.version).slice(0, MAXIMUM_LEASES),
        unansweredSinceMs: undefined,
        grantor: address,
    };
};

/** @param heldVersion the version of the configuration in force on this node */
const statusOf = (state: LeaseState, heldVersion: number, nowMs: number): LeaseStatus => {
    const valid = state.leases.filter(({ expiresMs }) => nowMs < expiresMs);
    if (valid.length === 0) {
        return "no-lease";
    }
    return valid.some(({ version }) => version <= heldVersion) ? "held" : "configuration-behind";
};

/** Time until the last lease ends, whatever its version. */
const remainingMs = ({ leases }: LeaseState, nowMs: number): number =>
    Math.max(0, ...leases.map(({ expiresMs }) => expiresMs - nowMs));

/**
 * The lease under which a node serves requests with keys. It bounds the time for which a key works after a configuration
 * that withdraws it was accepted, whether or not the node is reached; see docs/design/client-accounts.md.
 */
export const keyLease = { initial, renew, grant, statusOf, remainingMs, renewalIntervalMs } as const;
