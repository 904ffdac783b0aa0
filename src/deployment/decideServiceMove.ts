import { judgeThresholds } from "../moves/judgeThresholds";
import { ServiceMoveState } from "./ServiceMoveState";

/** Where a running move stands, as the leader sees it. */
type MoveQuestion = {
    readonly share: number;
    /** Time until the move must have ended; negative once that is over. */
    readonly remainingMs: number;
    /** How long the present share has been in force. */
    readonly atShareMs: number;
    /** How long this leader has watched the move. */
    readonly watchedMs: number;
    /** Requests of the target version that this leader has evidence of. */
    readonly targetRequests: number;
    /** The strongest suspicion against the target version, in natural log-likelihood, and what it rests on. */
    readonly suspicion: { readonly strength: number; readonly route: string; readonly signal: string; } | undefined;
};

type MoveDecision =
    | { readonly kind: "wait"; }
    | { readonly kind: "change-share"; readonly share: number; readonly reason: string; }
    | {
        readonly kind: "end-move";
        readonly state: ServiceMoveState.Finished | ServiceMoveState.TakenBack;
        readonly reason: string;
    };

/** Half of the tenth that operators allow a bad version, so that the last step fits into the rest. */
const TRIAL_SHARE = 0.05;

/** Nearly all requests go to the target version then; the rest shows whether a fault is the version's own. */
const WIDE_SHARE = 0.9;

/** The wide step begins this long before the deadline: later faults still show in the trial. */
const WIDE_STEP_MS = 2_800;

/** How long the wide step is watched, and how long all requests go to the target version before the end. */
const WIDE_WATCH_MS = 1_000;
const WHOLE_WATCH_MS = 600;

/** Below this a verdict rests on too little. */
const MINIMUM_TARGET_REQUESTS = 20;
const MINIMUM_WATCH_MS = 2_000;

const takeBack = (reason: string): MoveDecision => ({ kind: "end-move", state: ServiceMoveState.TakenBack, reason });

const wait: MoveDecision = { kind: "wait" };

const decideTrial = ({ remainingMs, suspicion, targetRequests, watchedMs }: MoveQuestion): MoveDecision => {
    if (remainingMs > WIDE_STEP_MS) {
        return wait;
    }
    if (suspicion && suspicion.strength >= judgeThresholds.passTrial) {
        return takeBack(`${suspicion.signal} on route ${suspicion.route}, not cleared before the deadline`);
    }
    return targetRequests < MINIMUM_TARGET_REQUESTS || watchedMs < MINIMUM_WATCH_MS
        ? takeBack("too little evidence before the deadline")
        : { kind: "change-share", share: WIDE_SHARE, reason: "trial passed" };
};

/**
 * The next step of a move. A trial share runs until shortly before the deadline, so that faults that show late or
 * under load harm few requests; then nearly everything moves, and at last all. Without enough evidence the version is
 * taken back.
 */
export const decideServiceMove = (question: MoveQuestion): MoveDecision => {
    const { atShareMs, share, suspicion } = question;
    if (suspicion && suspicion.strength >= judgeThresholds.takeBackBeforeDeadline) {
        return takeBack(`${suspicion.signal} on route ${suspicion.route}`);
    }
    if (share === 0) {
        return { kind: "change-share", share: TRIAL_SHARE, reason: "trial" };
    }
    if (share < WIDE_SHARE) {
        return decideTrial(question);
    }
    if (share < 1) {
        return atShareMs < WIDE_WATCH_MS ? wait : { kind: "change-share", share: 1, reason: "wide step passed" };
    }
    return atShareMs < WHOLE_WATCH_MS
        ? wait
        : { kind: "end-move", state: ServiceMoveState.Finished, reason: "in force and watched" };
};
