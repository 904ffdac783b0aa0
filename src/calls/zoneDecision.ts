import { ZonePressure } from "./ZonePressure";

/** A backend server as a destination of the request: what is expected, and what is known of it. */
type Destination = {
    /** Expected time until the response, without the path between zones. */
    readonly expectedMs: number;
    /** Share of recent requests that failed there, weighted by the age of the report. */
    readonly failureShare: number;
    readonly infoAgeMs: number;
};

type DecisionInput = {
    readonly nowMs: number;
    /** Time from now until a response counts as late. */
    readonly targetRemainingMs: number;
    readonly home: Destination;
    /** Undefined if no other zone has a backend server with room for requests of this one. */
    readonly away: Destination | undefined;
    /** Average size of the request and its response together. */
    readonly averageBytes: number;
    readonly linkBytesPerMs: number;
    /** What a kilobyte to another zone costs, as a share of what a late response costs. */
    readonly pricePerKilobyte: number;
};

type Decision = {
    readonly state: ZonePressure;
    /** Share of the requests like this one that should leave the zone, 0 to 1. */
    readonly share: number;
};

const BYTES_PER_KILOBYTE = 1_024;

/** A request crosses the link of this node and that of the receiving one. */
const LINKS_ON_PATH = 2;

/** Round trip between zones with the work of both nodes: well above the network's 1 to 3 ms. */
const ROUND_TRIP_MS = 5;

/**
 * A response is at risk if its target is below this many times its expected time: the time that requests take varies by
 * about twice its mean, and the load is not known exactly.
 */
const ON_TIME_MARGIN = 2.5;

/** Width of the rise of the risk around that margin, as a share of the target. */
const LATE_WIDTH = 0.15;

/** Time constant of the smoothing: several requests of a class, and below the target of most. */
const SMOOTHING_MS = 150;

/** Requests start to leave at the first net gain and stop at the second, so that noise does not make them alternate. */
const LEAVE_GAIN = 0.05;
const RETURN_GAIN = 0.02;

/** Net gain at which all requests leave. The wide range keeps many nodes from overshooting together. */
const FULL_GAIN = 0.8;

/** Weight of a request that was refused in its zone: about the last ten count. */
const REFUSAL_WEIGHT = 0.1;

/** A destination without recent reports is a risk: it may be full, cut off or gone. */
const STALE_RISK = 0.1;
const STALE_AFTER_MS = 2_000;

const create = (nowMs: number): ZonePressure => ({ lateShare: 0, isLeaving: false, updatedAtMs: nowMs });

/** Probability that a response with this expected time comes after its target. */
const lateProbability = (expectedMs: number, targetMs: number): number => {
    if (targetMs <= 0) {
        return 1;
    }
    return 1 / (1 + Math.exp((1 - (expectedMs * ON_TIME_MARGIN) / targetMs) / LATE_WIDTH));
};

/** Probability that the request is late or fails there, not counting the path to it. */
const lossAt = ({ expectedMs, failureShare }: Destination, targetMs: number, pathMs = 0): number => {
    const late = lateProbability(expectedMs + pathMs, targetMs);
    return late + (1 - late) * failureShare;
};

/** What a request loses by leaving the zone: the risk there and the price of its bytes. */
const costAway = (input: DecisionInput): number => {
    const { averageBytes, away, linkBytesPerMs, pricePerKilobyte, targetRemainingMs } = input;
    if (!away) {
        return Infinity;
    }
    const pathMs = ROUND_TRIP_MS + (averageBytes / linkBytesPerMs) * LINKS_ON_PATH;
    const staleRisk = away.infoAgeMs > STALE_AFTER_MS ? STALE_RISK : 0;
    return lossAt(away, targetRemainingMs, pathMs) + staleRisk
        + (averageBytes / BYTES_PER_KILOBYTE) * pricePerKilobyte;
};

/**
 * Decides which share of the requests of a service and class leaves the zone: none unless a request is likely late or
 * refused here and not there, and the more the greater the gain. Small requests leave at a lower gain than large ones.
 */
const decide = (state: ZonePressure, input: DecisionInput): Decision => {
    const { home, nowMs, targetRemainingMs } = input;
    const weight = 1 - Math.exp(-(nowMs - state.updatedAtMs) / SMOOTHING_MS);
    const lateShare = state.lateShare + weight * (lossAt(home, targetRemainingMs) - state.lateShare);
    const gain = lateShare - costAway(input);
    const isLeaving = gain >= (state.isLeaving ? RETURN_GAIN : LEAVE_GAIN);
    const share = isLeaving ? Math.min(1, Math.max(0, (gain - RETURN_GAIN) / (FULL_GAIN - RETURN_GAIN))) : 0;
    return { state: { lateShare, isLeaving, updatedAtMs: nowMs }, share };
};

/**
 * Records that a request was refused or overdue in its zone. Estimates of the wait do not show how often the requests of
 * a class are refused in favour of more urgent ones.
 */
const recordRefusal = (state: ZonePressure): ZonePressure => ({
    ...state,
    lateShare: state.lateShare + REFUSAL_WEIGHT * (1 - state.lateShare),
});

/** True if a request that was refused or failed in its zone is worth an attempt in another one. */
const isWorthTrying = (input: DecisionInput): boolean => 1 - costAway(input) >= LEAVE_GAIN;

/** Decides when requests leave their zone. */
export const zoneDecision = { create, decide, recordRefusal, isWorthTrying } as const;
