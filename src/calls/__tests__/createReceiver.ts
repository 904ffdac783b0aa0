import { SystemClock } from "../../core/SystemClock";
import { createCrashEvidence } from "../../crashes/__tests__/createCrashEvidence";
import { CrashEvidenceTask } from "../../crashes/CrashEvidenceTask";
import { BackendClient } from "../BackendClient";
import { CallReceiver } from "../CallReceiver";
import { CrashGuard } from "../CrashGuard";
import { HealthCheckClient } from "../HealthCheckClient";
import { NestedCalls } from "../NestedCalls";
import { noLateness } from "./noLateness";

const DRAIN_GRACE_MS = 60_000;

/** Fails a test in which a service without a limit for cold backend servers is checked. */
const noHealthChecks = {
    check: () => {
        throw new Error("unexpected health check");
    },
} as unknown as HealthCheckClient;

const create = (
    client: BackendClient,
    slots: number,
    healthChecks = noHealthChecks,
    evidence: CrashEvidenceTask = createCrashEvidence(),
    turns: ConstructorParameters<typeof CallReceiver>[0]["turns"] = noLateness,
): CallReceiver => {
    const clock = new SystemClock();
    const receiver = new CallReceiver({
        clock,
        turns,
        client,
        crashGuard: new CrashGuard({ clock, evidence, isPlannedEnd: () => false }),
        healthChecks,
        nestedCalls: new NestedCalls(),
        cold: { overage: 1.5, slack: 8 },
        onColdChange: () => undefined,
        onHealthCheck: () => undefined,
        drainGraceMs: DRAIN_GRACE_MS,
        onNotice: () => undefined,
        onStart: () => undefined,
        onRun: () => undefined,
        onNotServed: () => undefined,
    });
    receiver.updateInstance({
        id: "i-1",
        service: "canopy-map",
        version: "v1",
        address: "127.0.0.1:9",
        slots,
        bornMs: 1,
        sequence: 1,
        drainingSinceMs: undefined,
        warmAtMs: 0,
    });
    return receiver;
};

/** Creates a receiver beside the backend server i-1, which has been warm for long. */
export const createReceiver = Object.assign(create, { drainGraceMs: DRAIN_GRACE_MS });
