import { canonicalJson } from "../core/canonicalJson";
import { addStatistics } from "./addStatistics";
import { reportKey } from "./reportKey";
import { ReportState } from "./ReportState";
import { RequestStatistics } from "./RequestStatistics";
import { ServiceReport } from "./ServiceReport";

const initial: ReportState = { children: new Map(), statistics: new Map(), sent: new Map() };

const sumHolding = (left: ServiceReport["holding"], right: ServiceReport["holding"]): ServiceReport["holding"] => {
    const counts = new Map(left.map(({ proxies, revision }) => [revision, proxies]));
    right.forEach(({ proxies, revision }) => counts.set(revision, (counts.get(revision) ?? 0) + proxies));
    return [...counts]
        .filter(([, proxies]) => proxies > 0)
        .map(([revision, proxies]) => ({ revision, proxies }))
        .sort((a, b) => a.revision - b.revision);
};

const sumReports = (left: ServiceReport, right: ServiceReport): ServiceReport => ({
    ...left,
    subscribers: left.subscribers + right.subscribers,
    suppressing: left.suppressing + right.suppressing,
    holding: sumHolding(left.holding, right.holding),
});

/** Stores a child's report: its totals replace those that it sent before, its request statistics are added. */
const receive = (
    state: ReportState,
    childId: string,
    services: readonly ServiceReport[],
    statistics: readonly RequestStatistics[],
): ReportState => {
    const reports = new Map(state.children.get(childId));
    services.forEach((report) => reports.set(reportKey(report), report));
    const children = new Map(state.children).set(childId, reports);
    return { ...state, children, statistics: addStatistics(state.statistics, statistics) };
};

/** Removes the totals of a child that has disconnected. Its request statistics stay. */
const forget = (state: ReportState, childId: string): ReportState => {
    const children = new Map(state.children);
    children.delete(childId);
    return { ...state, children };
};

/** Returns the totals over all children, by `reportKey`. */
const totals = (state: ReportState): ReadonlyMap<string, ServiceReport> => {
    const totalByKey = new Map<string, ServiceReport>();
    for (const reports of state.children.values()) {
        for (const [key, report] of reports) {
            const current = totalByKey.get(key);
            totalByKey.set(key, current ? sumReports(current, report) : report);
        }
    }
    return totalByKey;
};

const toEmptyReport = (report: ServiceReport): ServiceReport => ({
    ...report,
    subscribers: 0,
    suppressing: 0,
    holding: [],
});

type Outgoing = {
    /** The state once the report has been sent. */
    readonly state: ReportState;
    readonly services: readonly ServiceReport[];
    readonly statistics: readonly RequestStatistics[];
};

/** Returns what must be sent to the parent: totals that changed since the last report, and new request statistics. */
const takeOutgoing = (state: ReportState): Outgoing => {
    const totalByKey = totals(state);
    const changed = [...totalByKey].filter(([key, report]) =>
        canonicalJson(report) !== canonicalJson(state.sent.get(key))
    );
    const removed = [...state.sent].filter(([key, { subscribers }]) => !totalByKey.has(key) && subscribers > 0);
    const services = [...changed.map(([, report]) => report), ...removed.map(([, report]) => toEmptyReport(report))];
    const sent = new Map([...state.sent, ...services.map((report) => [reportKey(report), report] as const)]);
    return { state: { ...state, sent, statistics: new Map() }, services, statistics: [...state.statistics.values()] };
};

/** Makes the next outgoing report contain all totals, for a new parent. */
const resetSent = (state: ReportState): ReportState => ({ ...state, sent: new Map() });

/** Pure functions that aggregate the reports of children on their way up the relay tree. */
export const reportAggregation = { initial, receive, forget, totals, takeOutgoing, resetSent } as const;
