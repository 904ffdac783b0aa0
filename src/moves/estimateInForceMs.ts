import { EntryRecord } from "../catalogue/EntryRecord";

/** Time allowed for distributing one step to every proxy. */
const DISTRIBUTION_ALLOWANCE_MS = 1_000;

/**
 * The earliest time at which every proxy can hold the last step of the rollout within its limits, in milliseconds since
 * the Unix epoch, or undefined without a rollout.
 */
export const estimateInForceMs = ({ entry, move }: EntryRecord, nowMs: number): number | undefined => {
    if (!move) {
        return undefined;
    }
    if (move.inForceAtMs !== undefined) {
        return move.inForceAtMs;
    }
    const { bakeMs, requestShareSteps } = entry.limits;
    const stepsLeft = requestShareSteps.length - 1 - move.step;
    if (stepsLeft === 0) {
        return nowMs;
    }
    const stepEndMs = Math.max(nowMs, move.stepStartedAtMs + bakeMs);
    return stepEndMs + (stepsLeft - 1) * bakeMs + stepsLeft * DISTRIBUTION_ALLOWANCE_MS;
};
