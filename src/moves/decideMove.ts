import { CatalogueCommand } from "../catalogue/CatalogueCommand";
import { coverageChanges } from "./coverageChanges";
import { estimateInForceMs } from "./estimateInForceMs";
import { judgeThresholds } from "./judgeThresholds";
import { judging } from "./judging";
import { MoveQuestion } from "./MoveQuestion";

const OPERATOR = "filbertdeal";

/** The reason to take the move back, or undefined. */
const takeBackReason = ({ coverage, judge, record }: MoveQuestion): string | undefined => {
    // A first version has no baseline and nothing to go back to.
    if (!record.stable) {
        return undefined;
    }
    const { expected, suppressing } = coverageChanges.summarize(coverage, record.revision);
    const suspicion = judging.suspicion(judge);
    const strength = suspicion?.strength ?? 0;
    const onRoute = suspicion ? `${suspicion.signal} on route ${suspicion.route}` : "suppression";
    if (strength >= judgeThresholds.takeBack) {
        return `${onRoute} exceed the baseline's`;
    }
    if (suppressing > 0 && strength >= judgeThresholds.supported) {
        return `${onRoute} exceed the baseline's, as ${suppressing} proxies found as well`;
    }
    if (suppressing > 0 && suppressing >= expected * judgeThresholds.suppressingShare) {
        return `${suppressing} of ${expected} proxies stopped sending to the version on their own evidence`;
    }
    return undefined;
};

/** True if enough requests were judged at this step, or waiting for more would make the move late. */
const isProven = ({ judge, nowMs, record, requestsAtStep }: MoveQuestion): boolean => {
    const judged = judging.candidateRequests(judge) - requestsAtStep;
    if (judged >= record.entry.limits.minimumRequests) {
        return true;
    }
    const completeByMs = record.move?.completeByMs;
    const estimateMs = estimateInForceMs(record, nowMs);
    const { bakeMs } = record.entry.limits;
    return completeByMs !== undefined && estimateMs !== undefined && estimateMs + bakeMs > completeByMs;
};

const isBaked = ({ judgingSinceMs, nowMs, record }: MoveQuestion): boolean => {
    const sinceMs = Math.max(record.move?.stepStartedAtMs ?? nowMs, judgingSinceMs);
    return nowMs - sinceMs >= record.entry.limits.bakeMs;
};

/**
 * Decides the next command for a move, or undefined to wait. The entry's limits always win over its deadline: a move
 * that can't keep both is marked late as soon as that can be foreseen.
 */
export const decideMove = (question: MoveQuestion): CatalogueCommand | undefined => {
    const { coverage, nowMs: atMs, record } = question;
    const { entry, move, revision, service } = record;
    if (!move) {
        return undefined;
    }
    const { version } = move;
    const reason = takeBackReason(question);
    if (reason) {
        return { kind: "take-back", service, version: record.version, reason, operator: OPERATOR, atMs };
    }
    const estimateMs = estimateInForceMs(record, atMs);
    const late = move.completeByMs !== undefined && estimateMs !== undefined && estimateMs > move.completeByMs;
    if (late && !move.late) {
        return { kind: "mark-move", service, version, late, atMs };
    }
    // The proxies of a silent zone stay expected, so the move waits for them.
    const { expected, holding } = coverageChanges.summarize(coverage, revision);
    const everywhere = expected > 0 && holding >= expected;
    if (move.inForceAtMs !== undefined) {
        const watchedMs = atMs - Math.max(move.inForceAtMs, question.judgingSinceMs);
        return watchedMs >= entry.limits.watchMs ? { kind: "finish-move", service, version, atMs } : undefined;
    }
    if (!everywhere) {
        return undefined;
    }
    if (move.step === entry.limits.requestShareSteps.length - 1) {
        return { kind: "mark-move", service, version, late: move.late, inForceAtMs: atMs, atMs };
    }
    if (isBaked(question) && isProven(question)) {
        return { kind: "advance-move", service, version, step: move.step + 1, atMs };
    }
    return undefined;
};
