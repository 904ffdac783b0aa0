import { canaryThresholds } from "../moves/canaryThresholds";
import { ServiceRolloutState } from "./ServiceRolloutState";

/** The progress of a running rollout, as the leader sees it. */
type RolloutProgress = {
    /** Share of requests that go to the target version, 0 to 1. */
    readonly share: number;
    /** Time until the deadline by which the rollout must have ended; negative after it. */
    readonly remainingMs: number;
    /** How long the current share has been in force. */
    readonly timeAtShareMs: number;
    /** How long this leader has observed the rollout. */
    readonly observedMs: number;
    /** Number of requests to the target version that this leader has statistics of. */
    readonly targetRequests: number;
    /**
     * The strongest sign that the target version is worse than the others: its strength as a natural log-likelihood
     * ratio, and the route and signal that show it.
     */
    readonly regression: { readonly strength: number; readonly route: string; readonly signal: string; } | undefined;
    /** Number of requests to the other versions that this leader has statistics of. */
    readonly baselineRequests: number;
    /** True if no other version of the service is left, so that all requests go to the target version. */
    readonly isOnlyVersion: boolean;
};

/** What to do next with a rollout. `reason` is logged and, if the rollout ends, stored with it. */
type RolloutDecision =
    | { readonly kind: "wait"; }
    | { readonly kind: "change-share"; readonly share: number; readonly reason: string; }
    | {
        readonly kind: "end-move";
        readonly state: ServiceRolloutState.Finished | ServiceRolloutState.RolledBack;
        readonly reason: string;
        /** True if the target version failed. */
        readonly isFaulty: boolean;
    };

/**
 * Share of the canary step: half of the 10 % of requests that operators allow a bad version to get. The other half is
 * reserved for the later steps.
 */
const CANARY_SHARE = 0.05;

/** Share of the wide step. The requests that remain on the other versions show whether a fault is the target's own. */
const WIDE_STEP_SHARE = 0.9;

/** The wide step begins this long before the deadline, so that faults that show late appear in the canary step. */
const WIDE_STEP_LEAD_MS = 2_800;

/** How long the wide step is observed, and then the step that sends all requests to the target version. */
const WIDE_STEP_OBSERVATION_MS = 1_000;
const FULL_STEP_OBSERVATION_MS = 600;

/** With fewer requests or a shorter observation, the request statistics are too few to pass the canary step. */
const MINIMUM_TARGET_REQUESTS = 20;
const MINIMUM_OBSERVATION_MS = 2_000;

const rollBack = (reason: string, isFaulty: boolean): RolloutDecision => ({
    kind: "end-move",
    state: ServiceRolloutState.RolledBack,
    reason,
    isFaulty,
});

const finish = (reason: string): RolloutDecision => ({
    kind: "end-move",
    state: ServiceRolloutState.Finished,
    reason,
    isFaulty: false,
});

const wait: RolloutDecision = { kind: "wait" };

const decideCanary = (
    { remainingMs, regression, targetRequests, observedMs }: RolloutProgress,
): RolloutDecision => {
    if (remainingMs > WIDE_STEP_LEAD_MS) {
        return wait;
    }
    if (regression && regression.strength >= canaryThresholds.passCanary) {
        return rollBack(`${regression.signal} on route ${regression.route}, not cleared before the deadline`, true);
    }
    return targetRequests < MINIMUM_TARGET_REQUESTS || observedMs < MINIMUM_OBSERVATION_MS
        ? rollBack("too little evidence before the deadline", false)
        : { kind: "change-share", share: WIDE_STEP_SHARE, reason: "trial passed" };
};

/**
 * Returns the next step of a rollout. The canary step lasts until shortly before the deadline, so that faults that show
 * late or under load affect few requests. Then nearly all requests go to the target version, and finally all. A rollout
 * is rolled back at any step on a strong regression signal. It does not pass the canary step, but is rolled back at its
 * end, on a weaker signal or if there are too few request statistics. Without another version there is nothing to
 * compare with and nothing to go back to: the rollout waits until shortly before the deadline, in case one returns, and
 * finishes.
 */
export const decideServiceRollout = (progress: RolloutProgress): RolloutDecision => {
    const { baselineRequests, isOnlyVersion, regression, remainingMs, share, timeAtShareMs } = progress;
    const isComparable = !isOnlyVersion || baselineRequests > 0;
    if (regression && isComparable && regression.strength >= canaryThresholds.rollBackBeforeDeadline) {
        return rollBack(`${regression.signal} on route ${regression.route}`, true);
    }
    if (isOnlyVersion) {
        return remainingMs > WIDE_STEP_LEAD_MS ? wait : finish("no other version is left");
    }
    if (share === 0) {
        return { kind: "change-share", share: CANARY_SHARE, reason: "trial" };
    }
    if (share < WIDE_STEP_SHARE) {
        return decideCanary(progress);
    }
    if (share < 1) {
        return timeAtShareMs < WIDE_STEP_OBSERVATION_MS
            ? wait
            : { kind: "change-share", share: 1, reason: "wide step passed" };
    }
    return timeAtShareMs < FULL_STEP_OBSERVATION_MS
        ? wait
        : finish("in force and watched");
};
