import { EntryStatus } from "../control/EntryStatus";
import { formatTable } from "./formatTable";

const PERCENT = 100;

const describeProxies = ({ expected, holding, suppressing, unknown }: EntryStatus["proxies"]): string => {
    const parts = [`${holding}/${expected}`];
    if (unknown > 0) {
        parts.push(`${unknown} unknown`);
    }
    if (suppressing > 0) {
        parts.push(`${suppressing} suppressing`);
    }
    return parts.join(", ");
};

const describeRollout = ({ move }: EntryStatus): string => {
    if (!move) {
        return "-";
    }
    const share = Math.round(move.requestShare * PERCENT);
    return `to ${move.version}: step ${move.step}/${move.steps} at ${share}%, waits for ${move.waitingFor}`;
};

const describeOutcome = ({ lastOutcome }: EntryStatus): string => {
    if (!lastOutcome) {
        return "-";
    }
    const late = lastOutcome.result === "finished" && !lastOutcome.onTime ? ", late" : "";
    return `${lastOutcome.version} ${lastOutcome.result}${late}: ${lastOutcome.reason}`;
};

const describeDeadline = ({ move }: EntryStatus): string =>
    move?.completeBy ? `${move.estimatedInForceAt ?? "?"} / ${move.completeBy}` : "-";

/** Formats the status of entries as a table. */
export const describeEntries = (entries: readonly EntryStatus[]): string =>
    formatTable(
        ["SERVICE", "VERSION", "STATE", "PROXIES", "MOVE", "EXPECTED / DEADLINE", "LAST OUTCOME"],
        entries.map((entry) => [
            entry.service,
            String(entry.version),
            entry.state,
            describeProxies(entry.proxies),
            describeRollout(entry),
            describeDeadline(entry),
            describeOutcome(entry),
        ]),
    );
