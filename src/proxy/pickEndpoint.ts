import { RandomSource } from "../core/RandomSource";
import { EndpointLoad } from "./EndpointLoad";
import { EndpointTarget } from "./EndpointTarget";

const RAMP_MS = 10_000;
const RAMP_START = 0.1;
const FAILURE_PENALTY = 10;
const DEFAULT_LATENCY_MS = 5;

/** At most this share of a pool is ejected at a time. */
const MAXIMUM_EJECTED_SHARE = 0.5;

/** Requests spill to other zones once each endpoint of the own zone has this share of its slots outstanding here. */
const SPILL_SHARE = 0.75;

/** What the choice of an endpoint depends on. */
type EndpointQuestion = {
    readonly targets: readonly EndpointTarget[];
    readonly loadOf: (target: EndpointTarget) => EndpointLoad;
    readonly ownZone: string;
    /** Endpoints that this request was sent to already. */
    readonly tried: ReadonlySet<string>;
    /** When this node started: what it saw since its start is not a cold start. */
    readonly startedMs: number;
    readonly nowMs: number;
    readonly random: RandomSource;
};

/** A backend server that has just appeared gets a rising share of requests. */
const rampOf = ({ firstSeenMs }: EndpointLoad, { nowMs, startedMs }: EndpointQuestion): number => {
    if (firstSeenMs - startedMs < RAMP_MS) {
        return 1;
    }
    return Math.min(1, RAMP_START + (nowMs - firstSeenMs) / RAMP_MS);
};

const costOf = (target: EndpointTarget, question: EndpointQuestion): number => {
    const load = question.loadOf(target);
    const perSlot = (load.outstanding + 1) / target.slots;
    const latencyMs = load.latencyMs ?? DEFAULT_LATENCY_MS;
    const penalty = 1 + FAILURE_PENALTY * load.failureShare;
    return (perSlot * latencyMs * penalty) / rampOf(load, question);
};

const withoutEjected = (question: EndpointQuestion): readonly EndpointTarget[] => {
    const { loadOf, nowMs, targets } = question;
    const usable = targets.filter((target) => loadOf(target).ejectedUntilMs <= nowMs);
    const ejected = targets.length - usable.length;
    return ejected > targets.length * MAXIMUM_EJECTED_SHARE ? targets : usable;
};

/** Keeps the items that pass, or all if none does. */
const prefer = (
    targets: readonly EndpointTarget[],
    passes: (target: EndpointTarget) => boolean,
): readonly EndpointTarget[] => {
    const preferred = targets.filter(passes);
    return preferred.length > 0 ? preferred : targets;
};

const preferOwnZone = (targets: readonly EndpointTarget[], question: EndpointQuestion): readonly EndpointTarget[] => {
    const local = targets.filter(({ zone }) => zone === question.ownZone);
    const hasRoom = local.some((target) => question.loadOf(target).outstanding < target.slots * SPILL_SHARE);
    return hasRoom ? local : targets;
};

/**
 * Picks the better of two random endpoints by cost: outstanding requests per slot, latency and failures. Prefers
 * endpoints that were not tried, are not suspected, did not just refuse, and are in the own zone while it has room.
 */
export const pickEndpoint = (question: EndpointQuestion): EndpointTarget | undefined => {
    const { loadOf, nowMs, random, tried } = question;
    let targets = withoutEjected(question);
    targets = prefer(targets, ({ memberId }) => !tried.has(memberId));
    targets = prefer(targets, ({ suspect }) => !suspect);
    targets = prefer(targets, (target) => loadOf(target).refusedUntilMs <= nowMs);
    targets = preferOwnZone(targets, question);
    if (targets.length <= 1) {
        return targets.at(0);
    }
    const first = random.pick(targets);
    const second = random.pick(targets);
    return costOf(first, question) <= costOf(second, question) ? first : second;
};
