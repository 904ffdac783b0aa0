import { CatalogueCommand } from "../catalogue/CatalogueCommand";
import { canaryAnalysis } from "./canaryAnalysis";
import { canaryThresholds } from "./canaryThresholds";
import { coverageTracking } from "./coverageTracking";
import { estimateInForceMs } from "./estimateInForceMs";
import { RolloutContext } from "./RolloutContext";

/** Recorded as the operator of an automatic rollback. */
const AUTOMATIC_OPERATOR = "filbertdeal";

/** The reason to roll back, undefined if there is none. */
const rollbackReason = ({ coverage, analysis, record }: RolloutContext): string | undefined => {
    // A first version has neither a baseline nor a version to roll back to.
    if (!record.stable) {
        return undefined;
    }
    const { expected, suppressing } = coverageTracking.summarize(coverage, record.revision);
    const regression = canaryAnalysis.strongestRegression(analysis);
    const strength = regression?.strength ?? 0;
    const finding = regression ? `${regression.signal} on route ${regression.route}` : "suppression";
    if (strength >= canaryThresholds.rollBack) {
        return `${finding} exceed the baseline's`;
    }
    if (suppressing > 0 && strength >= canaryThresholds.rollBackIfSuppressed) {
        return `${finding} exceed the baseline's, as ${suppressing} proxies found as well`;
    }
    if (suppressing > 0 && suppressing >= expected * canaryThresholds.suppressingShare) {
        return `${suppressing} of ${expected} proxies stopped sending to the version on their own evidence`;
    }
    return undefined;
};

/** True if this step has had enough candidate requests, or if waiting for more would make the rollout late. */
const hasEnoughRequests = ({ analysis, nowMs, record, requestsAtStepStart }: RolloutContext): boolean => {
    const requestsInStep = canaryAnalysis.candidateRequests(analysis) - requestsAtStepStart;
    if (requestsInStep >= record.entry.limits.minimumRequests) {
        return true;
    }
    const completeByMs = record.move?.completeByMs;
    const estimateMs = estimateInForceMs(record, nowMs);
    const { bakeMs } = record.entry.limits;
    return completeByMs !== undefined && estimateMs !== undefined && estimateMs + bakeMs > completeByMs;
};

const hasBaked = ({ analysisSinceMs, nowMs, record }: RolloutContext): boolean => {
    const sinceMs = Math.max(record.move?.stepStartedAtMs ?? nowMs, analysisSinceMs);
    return nowMs - sinceMs >= record.entry.limits.bakeMs;
};

/**
 * Returns the next command for a rollout, or undefined to wait. The entry's limits always take precedence over its
 * deadline: a rollout that can't meet both is marked late as soon as that is predictable.
 */
export const decideRollout = (context: RolloutContext): CatalogueCommand | undefined => {
    const { coverage, nowMs: atMs, record } = context;
    const { entry, move, revision, service } = record;
    if (!move) {
        return undefined;
    }
    const { version } = move;
    const reason = rollbackReason(context);
    if (reason) {
        return { kind: "take-back", service, version: record.version, reason, operator: AUTOMATIC_OPERATOR, atMs };
    }
    const estimateMs = estimateInForceMs(record, atMs);
    const late = move.completeByMs !== undefined && estimateMs !== undefined && estimateMs > move.completeByMs;
    if (late && !move.late) {
        return { kind: "mark-move", service, version, late, atMs };
    }
    // Proxies of a zone that stopped reporting remain expected, so the rollout waits for them.
    const { expected, holding } = coverageTracking.summarize(coverage, revision);
    const heldByAllProxies = expected > 0 && holding >= expected;
    if (move.inForceAtMs !== undefined) {
        const observedMs = atMs - Math.max(move.inForceAtMs, context.analysisSinceMs);
        return observedMs >= entry.limits.watchMs ? { kind: "finish-move", service, version, atMs } : undefined;
    }
    if (!heldByAllProxies) {
        return undefined;
    }
    if (move.step === entry.limits.requestShareSteps.length - 1) {
        return { kind: "mark-move", service, version, late: move.late, inForceAtMs: atMs, atMs };
    }
    if (hasBaked(context) && hasEnoughRequests(context)) {
        return { kind: "advance-move", service, version, step: move.step + 1, atMs };
    }
    return undefined;
};
