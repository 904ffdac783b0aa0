import { EntryRecord } from "../catalogue/EntryRecord";
import { Coverage } from "../moves/Coverage";
import { coverageTracking } from "../moves/coverageTracking";
import { estimateInForceMs } from "../moves/estimateInForceMs";
import { EntryStatus } from "./EntryStatus";

type ProxyCoverage = EntryStatus["proxies"];

const toIso = (timeMs: number | undefined): string | undefined =>
    timeMs === undefined ? undefined : new Date(timeMs).toISOString();

const describeState = (record: EntryRecord, { expected, holding, unknown }: ProxyCoverage): EntryStatus["state"] => {
    if (record.move) {
        return record.move.late ? "late" : "moving";
    }
    return holding >= expected && unknown === 0 ? "in-force" : "spreading";
};

const describeWaitingFor = (record: EntryRecord, proxies: ProxyCoverage): string => {
    if (proxies.silentZones.length > 0) {
        return `zones that can't be reached: ${proxies.silentZones.join(", ")}`;
    }
    if (proxies.expected === 0) {
        return "the first proxy that uses the service";
    }
    if (proxies.holding < proxies.expected) {
        return `${proxies.expected - proxies.holding} proxies to acknowledge`;
    }
    return record.move?.inForceAtMs === undefined ? "the step's bake time and evidence" : "the end of the watch time";
};

const describeRollout = (
    record: EntryRecord,
    proxies: ProxyCoverage,
    judgedRequests: number | undefined,
    nowMs: number,
): EntryStatus["move"] => {
    const { entry, move } = record;
    if (!move) {
        return undefined;
    }
    const { requestShareSteps } = entry.limits;
    return {
        version: move.version,
        step: move.step + 1,
        steps: requestShareSteps.length,
        requestShare: requestShareSteps[move.step],
        judgedRequests,
        late: move.late,
        inForceAt: toIso(move.inForceAtMs),
        estimatedInForceAt: toIso(estimateInForceMs(record, nowMs)),
        completeBy: toIso(move.completeByMs),
        waitingFor: describeWaitingFor(record, proxies),
    };
};

/** Returns the status of an entry for the administration API. */
export const describeStatus = (
    record: EntryRecord,
    coverage: Coverage,
    judgedRequests: number | undefined,
    nowMs: number,
): EntryStatus => {
    const proxies = coverageTracking.summarize(coverage, record.revision);
    return {
        service: record.service,
        owner: record.entry.owner,
        class: record.entry.class,
        version: record.version,
        revision: record.revision,
        stableVersion: record.stable?.version,
        state: describeState(record, proxies),
        move: describeRollout(record, proxies, judgedRequests, nowMs),
        proxies,
        lastOutcome: record.outcomes.at(-1),
    };
};
