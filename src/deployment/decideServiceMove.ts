import { canaryThresholds } from "../moves/canaryThresholds";
import { ServiceMoveState } from "./ServiceMoveState";

/** The progress of a running move, as the leader sees it. */
type MoveProgress = {
    /** Share of requests that go to the target version, 0 to 1. */
    readonly share: number;
    /** Time until the deadline by which the move must have ended; negative after it. */
    readonly remainingMs: number;
    /** How long the current share has been in force. */
    readonly timeAtShareMs: number;
    /** How long this leader has observed the move. */
    readonly observedMs: number;
    /** Number of requests to the target version that this leader has evidence of. */
    readonly targetRequests: number;
    /**
     * The strongest sign that the target version is worse than the others: its strength as a natural log-likelihood
     * ratio, and the route and signal that show it.
     */
    readonly suspicion: { readonly strength: number; readonly route: string; readonly signal: string; } | undefined;
};

/** What to do next with a move. `reason` is logged and, for a move that ends, stored with it. */
type MoveDecision =
    | { readonly kind: "wait"; }
    | { readonly kind: "change-share"; readonly share: number; readonly reason: string; }
    | {
        readonly kind: "end-move";
        readonly state: ServiceMoveState.Finished | ServiceMoveState.RolledBack;
        readonly reason: string;
    };

/** Share of the trial (canary) step: half of the 10 % that operators allow a bad version, so the last step fits too. */
const TRIAL_SHARE = 0.05;

/** Share of the wide step. The requests that remain on the other versions show whether a fault is the target's own. */
const WIDE_STEP_SHARE = 0.9;

/** The wide step begins this long before the deadline, so that faults that show late still appear in the trial. */
const WIDE_STEP_LEAD_MS = 2_800;

/** How long the wide step is observed, and then the step that sends all requests to the target version. */
const WIDE_STEP_OBSERVATION_MS = 1_000;
const FULL_STEP_OBSERVATION_MS = 600;

/** With fewer requests or a shorter observation, the evidence is too weak to pass the trial. */
const MINIMUM_TARGET_REQUESTS = 20;
const MINIMUM_OBSERVATION_MS = 2_000;

const rollBack = (reason: string): MoveDecision => ({ kind: "end-move", state: ServiceMoveState.RolledBack, reason });

const wait: MoveDecision = { kind: "wait" };

const decideTrial = ({ remainingMs, suspicion, targetRequests, observedMs }: MoveProgress): MoveDecision => {
    if (remainingMs > WIDE_STEP_LEAD_MS) {
        return wait;
    }
    if (suspicion && suspicion.strength >= canaryThresholds.passCanary) {
        return rollBack(`${suspicion.signal} on route ${suspicion.route}, not cleared before the deadline`);
    }
    return targetRequests < MINIMUM_TARGET_REQUESTS || observedMs < MINIMUM_OBSERVATION_MS
        ? rollBack("too little evidence before the deadline")
        : { kind: "change-share", share: WIDE_STEP_SHARE, reason: "trial passed" };
};

/**
 * Returns the next step of a move. The trial runs until shortly before the deadline, so that faults that show late or
 * under load harm few requests. Then nearly all requests move, and finally all. A move is rolled back on strong
 * evidence against the target version, or if there is too little evidence to pass the trial.
 */
export const decideServiceMove = (progress: MoveProgress): MoveDecision => {
    const { timeAtShareMs, share, suspicion } = progress;
    if (suspicion && suspicion.strength >= canaryThresholds.rollBackBeforeDeadline) {
        return rollBack(`${suspicion.signal} on route ${suspicion.route}`);
    }
    if (share === 0) {
        return { kind: "change-share", share: TRIAL_SHARE, reason: "trial" };
    }
    if (share < WIDE_STEP_SHARE) {
        return decideTrial(progress);
    }
    if (share < 1) {
        return timeAtShareMs < WIDE_STEP_OBSERVATION_MS
            ? wait
            : { kind: "change-share", share: 1, reason: "wide step passed" };
    }
    return timeAtShareMs < FULL_STEP_OBSERVATION_MS
        ? wait
        : { kind: "end-move", state: ServiceMoveState.Finished, reason: "in force and watched" };
};
