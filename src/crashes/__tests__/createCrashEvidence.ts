import { Clock } from "../../core/Clock";
import { SystemClock } from "../../core/SystemClock";
import { CrashEvidenceTask } from "../CrashEvidenceTask";
import { CrashReport } from "../CrashReport";

type EvidenceSetup = {
    readonly clock?: Clock;
    readonly versions?: readonly string[];
    readonly spread?: (reports: readonly CrashReport[]) => void;
    readonly onRefused?: (fingerprint: string, retryAfterMs: number) => void;
};

/** Creates the crash evidence of a member without links to others. */
export const createCrashEvidence = ({ clock, onRefused, spread, versions = [] }: EvidenceSetup = {}) =>
    new CrashEvidenceTask({
        clock: clock ?? new SystemClock(),
        log: { infoRateLimited: () => undefined },
        versionsInService: () => new Set(versions),
        spread: spread ?? (() => undefined),
        onRefused,
    });
