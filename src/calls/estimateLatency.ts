import { BackendView } from "./BackendView";
import { RoutableBackend } from "./RoutableBackend";

type LatencyInput = {
    readonly backend: RoutableBackend;
    readonly view: BackendView;
    /** Average service time of the backend servers that are considered; undefined if none is known. */
    readonly averageMs: number | undefined;
    readonly nowMs: number;
    /** How long requests of the route run, averaged over the backend servers; undefined if unknown. */
    readonly routeServiceMs: number | undefined;
};

type LatencyEstimate = {
    /** Expected time that the request runs, and waits before that. */
    readonly runMs: number;
    readonly waitMs: number;
    /** Further wait that a nearly full backend server may cause, since its known load is out of date when it is used. */
    readonly uncertainMs: number;
    /** Weight of what was last reported, 0 to 1, by its age. */
    readonly decay: number;
};

/** Service time assumed while nothing is known of a backend server. */
const INITIAL_SERVICE_MS = 50;

/** The known load from other nodes and the failure share lose half of their weight in this time. */
const HALF_LIFE_MS = 2_000;

/** Requests take about twice as long during slow start. */
const SLOW_START_FACTOR = 2;

/**
 * The uncertain wait is the utilization, limited to `MAXIMUM_UTILIZATION`, to the fourth power, times this many service
 * times.
 */
const UTILIZATION_COST_FACTOR = 1.5;
const UTILIZATION_COST_EXPONENT = 4;
const MAXIMUM_UTILIZATION = 1.5;

/** Estimates how long a request takes at a backend server from what this node knows of it. */
export const estimateLatency = ({ averageMs, backend, nowMs, routeServiceMs, view }: LatencyInput): LatencyEstimate => {
    const decay = 0.5 ** ((nowMs - view.updatedAtMs) / HALF_LIFE_MS);
    const slowStartFactor = nowMs < backend.warmAtMs ? SLOW_START_FACTOR : 1;
    const serviceMs = (view.serviceMs ?? averageMs ?? INITIAL_SERVICE_MS) * slowStartFactor;
    const runMs = routeServiceMs === undefined || !averageMs ? serviceMs : routeServiceMs * (serviceMs / averageMs);
    const load = view.outstanding + view.fromOtherNodes * decay;
    const slotWaitMs = (serviceMs * Math.max(0, load + 1 - backend.slots)) / backend.slots;
    const utilization = Math.min(MAXIMUM_UTILIZATION, (load + 1) / backend.slots);
    const uncertainMs = serviceMs * UTILIZATION_COST_FACTOR * utilization ** UTILIZATION_COST_EXPONENT;
    return { runMs, waitMs: Math.max(slotWaitMs, view.nextSendAtMs - nowMs), uncertainMs, decay };
};
