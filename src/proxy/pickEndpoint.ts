import { RandomSource } from "../core/RandomSource";
import { EndpointLoad } from "./EndpointLoad";
import { EndpointTarget } from "./EndpointTarget";

/** A new endpoint reaches its full share of requests within this time. */
const SLOW_START_MS = 10_000;
const SLOW_START_MINIMUM_SHARE = 0.1;

/** The cost is multiplied by 1 plus this number times the failure share. */
const FAILURE_PENALTY = 10;

/** Assumed latency of an endpoint that has not answered yet. */
const DEFAULT_LATENCY_MS = 5;

/** If more than this share of a pool is ejected, the ejections are ignored. */
const MAXIMUM_EJECTED_SHARE = 0.5;

/** Other zones are used once this node's requests fill this share of the slots of every endpoint in its own zone. */
const ZONE_SPILLOVER_SHARE = 0.75;

type SelectionContext = {
    readonly targets: readonly EndpointTarget[];
    readonly loadOf: (target: EndpointTarget) => EndpointLoad;
    readonly ownZone: string;
    /** Members that this request was already sent to. */
    readonly triedMemberIds: ReadonlySet<string>;
    /** When this node started. Endpoints that it first saw soon afterwards are not treated as new. */
    readonly startedMs: number;
    readonly nowMs: number;
    readonly random: RandomSource;
};

/** Fraction of its full share of requests that an endpoint gets. It rises to 1 for one that has just appeared. */
const slowStartShare = ({ firstSeenMs }: EndpointLoad, { nowMs, startedMs }: SelectionContext): number => {
    if (firstSeenMs - startedMs < SLOW_START_MS) {
        return 1;
    }
    return Math.min(1, SLOW_START_MINIMUM_SHARE + (nowMs - firstSeenMs) / SLOW_START_MS);
};

const costOf = (target: EndpointTarget, context: SelectionContext): number => {
    const load = context.loadOf(target);
    const loadPerSlot = (load.outstanding + 1) / target.slots;
    const latencyMs = load.latencyMs ?? DEFAULT_LATENCY_MS;
    const penalty = 1 + FAILURE_PENALTY * load.failureShare;
    return (loadPerSlot * latencyMs * penalty) / slowStartShare(load, context);
};

const withoutEjected = (context: SelectionContext): readonly EndpointTarget[] => {
    const { loadOf, nowMs, targets } = context;
    const usable = targets.filter((target) => loadOf(target).ejectedUntilMs <= nowMs);
    const ejected = targets.length - usable.length;
    return ejected > targets.length * MAXIMUM_EJECTED_SHARE ? targets : usable;
};

/** Keeps the targets that pass, or all of them if none passes. */
const prefer = (
    targets: readonly EndpointTarget[],
    passes: (target: EndpointTarget) => boolean,
): readonly EndpointTarget[] => {
    const preferred = targets.filter(passes);
    return preferred.length > 0 ? preferred : targets;
};

const preferOwnZone = (targets: readonly EndpointTarget[], context: SelectionContext): readonly EndpointTarget[] => {
    const local = targets.filter(({ zone }) => zone === context.ownZone);
    const hasCapacity = local.some((target) =>
        context.loadOf(target).outstanding < target.slots * ZONE_SPILLOVER_SHARE
    );
    return hasCapacity ? local : targets;
};

/**
 * Picks the cheaper of two random endpoints (power of two choices). The cost grows with outstanding requests per slot,
 * latency and failures. Prefers endpoints that were not tried, are not suspect and have not just refused a request, and
 * those of the own zone while it has capacity.
 */
export const pickEndpoint = (context: SelectionContext): EndpointTarget | undefined => {
    const { loadOf, nowMs, random, triedMemberIds } = context;
    let targets = withoutEjected(context);
    targets = prefer(targets, ({ memberId }) => !triedMemberIds.has(memberId));
    targets = prefer(targets, ({ suspect }) => !suspect);
    targets = prefer(targets, (target) => loadOf(target).refusedUntilMs <= nowMs);
    targets = preferOwnZone(targets, context);
    if (targets.length <= 1) {
        return targets.at(0);
    }
    const first = random.pick(targets);
    const second = random.pick(targets);
    return costOf(first, context) <= costOf(second, context) ? first : second;
};
