import { RandomSource } from "../core/RandomSource";
import { BackendChoice } from "./BackendChoice";
import { BackendView } from "./BackendView";
import { ZonedChoices } from "./ZonedChoices";

/** What a choice is made from. */
type PickQuestion = {
    readonly choices: ZonedChoices;
    readonly viewOf: (choice: BackendChoice) => BackendView;
    /** Nodes that were tried already. */
    readonly tried: ReadonlySet<string>;
    readonly nowMs: number;
    /** Time from now until an answer counts as late; negative once it is. */
    readonly targetRemainingMs: number;
    /** Bytes that the request and its answer usually have together. */
    readonly usualBytes: number;
    readonly random: RandomSource;
};

/** A backend server that is looked at. */
type Candidate = {
    readonly choice: BackendChoice;
    readonly view: BackendView;
    readonly isNear: boolean;
    /** It could not be reached lately. */
    readonly isHeldBack: boolean;
};

/** Backend servers of other zones that are looked at: more would all rush to the same free slot. */
const SAMPLE_OF_OTHER_ZONES = 2;

/** How often is drawn for them, since a draw may hit one that was tried or can't be reached. */
const DRAWS_OF_OTHER_ZONES = 16;

/** What crossing zones must save at least: the way there and back, and the price of the bytes. */
const ZONE_PENALTY_MS = 15;
const ZONE_PENALTY_MS_PER_KILOBYTE = 10;

/** A backend server of the own zone that was not heard of for this long is tried, so that it is not forgotten. */
const UNHEARD_MS = 1_500;

/** At most this part of the requests goes to backend servers that were not heard of. */
const TRIAL_SHARE = 0.05;

/** One that failed so much when it was last heard of is left to others' trials for now. */
const TRIAL_FAILURE_LIMIT = 0.3;

/**
 * An answer that is expected within this part of the time to the target is soon enough: work varies by about twice
 * its mean. What is soon enough is not worth the bytes to another zone.
 */
const COMFORT_SHARE = 0.4;

/** Among those that are soon enough, the sooner one still goes first. */
const SOONER_SHARE = 0.2;

/** Assumed while nothing has been heard of a backend server. */
const DEFAULT_SERVICE_MS = 50;

/**
 * What is known of others' load is old by the time it is used, so a nearly full backend server costs more than the
 * wait that is expected there: this many service times at full slots, by the fourth power of the part that is taken.
 */
const CROWDING_SHARE = 1.5;
const CROWDING_POWER = 4;
const CROWDING_LIMIT = 1.5;

/** A failure costs the caller about this much: the attempt, and another one elsewhere. */
const FAILURE_PENALTY_MS = 1_000;

/** What was heard of others' load and of failures loses half of its weight in this time. */
const HALF_LIFE_MS = 2_000;

/** After a failure to reach it, a node is left alone this long, doubled with each further one. */
const UNREACHABLE_BASE_MS = 250;
const UNREACHABLE_LIMIT_MS = 2_000;

/** Work takes about twice as long during slow start. */
const COLD_FACTOR = 2;

const isHeldBack = ({ heardMs, unreachableInARow }: BackendView, nowMs: number): boolean => {
    if (unreachableInARow === 0) {
        return false;
    }
    const pauseMs = Math.min(UNREACHABLE_LIMIT_MS, UNREACHABLE_BASE_MS * 2 ** (unreachableInARow - 1));
    return nowMs - heardMs < pauseMs;
};

/** What it costs to wait for an answer: little while it comes well before its target. */
const waitingCostMs = (expectedMs: number, targetRemainingMs: number): number => {
    const comfortMs = Math.max(0, targetRemainingMs) * COMFORT_SHARE;
    return expectedMs * SOONER_SHARE + Math.max(0, expectedMs - comfortMs) * (1 - SOONER_SHARE);
};

/** The cost of sending the request to this backend server, in milliseconds. */
const costOf = (question: PickQuestion, { choice, isNear, view }: Candidate): number => {
    const { nowMs, targetRemainingMs, usualBytes } = question;
    const fade = 0.5 ** ((nowMs - view.heardMs) / HALF_LIFE_MS);
    const serviceMs = (view.serviceMs ?? DEFAULT_SERVICE_MS) * (nowMs < choice.warmAtMs ? COLD_FACTOR : 1);
    const load = view.outstanding + view.others * fade;
    const waitMs = (serviceMs * Math.max(0, load + 1 - choice.slots)) / choice.slots;
    const crowding = Math.min(CROWDING_LIMIT, (load + 1) / choice.slots);
    const crowdingMs = serviceMs * CROWDING_SHARE * crowding ** CROWDING_POWER;
    const failureMs = view.failureShare * fade * FAILURE_PENALTY_MS;
    const zoneMs = isNear ? 0 : ZONE_PENALTY_MS + (usualBytes / 1_024) * ZONE_PENALTY_MS_PER_KILOBYTE;
    return waitingCostMs(serviceMs + waitMs, targetRemainingMs) + crowdingMs + failureMs + zoneMs;
};

const lookAt = ({ nowMs, viewOf }: PickQuestion, choice: BackendChoice, isNear: boolean): Candidate => {
    const view = viewOf(choice);
    return { choice, view, isNear, isHeldBack: isHeldBack(view, nowMs) };
};

/** A random few of the other zones. The rest is not looked at: there may be many. */
const drawOthers = (question: PickQuestion): readonly Candidate[] => {
    const { choices: { others }, random, tried } = question;
    const drawn = new Map<BackendChoice, Candidate>();
    let missing = Math.min(SAMPLE_OF_OTHER_ZONES, others.length);
    for (let draw = 0; draw < DRAWS_OF_OTHER_ZONES && missing > 0; draw += 1) {
        const choice = random.pick(others);
        if (!drawn.has(choice) && !tried.has(choice.nodeId)) {
            const candidate = lookAt(question, choice, false);
            drawn.set(choice, candidate);
            missing -= candidate.isHeldBack ? 0 : 1;
        }
    }
    return [...drawn.values()];
};

/** The backend server of the own zone that is due to be tried, if it is time for a trial at all. */
const pickTrial = ({ nowMs, random }: PickQuestion, near: readonly Candidate[]): BackendChoice | undefined => {
    if (random.fraction() >= TRIAL_SHARE) {
        return undefined;
    }
    let longest: BackendChoice | undefined;
    let heardMs = nowMs - UNHEARD_MS;
    for (const { choice, isHeldBack: isAvoided, view } of near) {
        const isDue = !isAvoided && view.outstanding === 0 && view.failureShare < TRIAL_FAILURE_LIMIT;
        if (isDue && view.heardMs < heardMs) {
            longest = choice;
            ({ heardMs } = view);
        }
    }
    return longest;
};

/** Chooses the backend server where the request costs least, or undefined if none may be tried. */
export const pickBackend = (question: PickQuestion): BackendChoice | undefined => {
    const near = question.choices.own
        .filter(({ nodeId }) => !question.tried.has(nodeId))
        .map((choice) => lookAt(question, choice, true));
    const trial = pickTrial(question, near);
    if (trial) {
        return trial;
    }
    const candidates = [...near, ...drawOthers(question)];
    const reachable = candidates.filter((candidate) => !candidate.isHeldBack);
    let best: BackendChoice | undefined;
    let bestMs = Infinity;
    for (const candidate of reachable.length > 0 ? reachable : candidates) {
        const costMs = costOf(question, candidate);
        if (costMs < bestMs) {
            best = candidate.choice;
            bestMs = costMs;
        }
    }
    return best;
};
