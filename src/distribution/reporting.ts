import { canonicalJson } from "../core/canonicalJson";
import { addEvidence } from "./addEvidence";
import { Evidence } from "./Evidence";
import { reportKey } from "./reportKey";
import { ReportState } from "./ReportState";
import { ServiceReport } from "./ServiceReport";

const initial: ReportState = { children: new Map(), evidence: new Map(), sent: new Map() };

const addHolding = (left: ServiceReport["holding"], right: ServiceReport["holding"]): ServiceReport["holding"] => {
    const counts = new Map(left.map(({ proxies, revision }) => [revision, proxies]));
    right.forEach(({ proxies, revision }) => counts.set(revision, (counts.get(revision) ?? 0) + proxies));
    return [...counts]
        .filter(([, proxies]) => proxies > 0)
        .map(([revision, proxies]) => ({ revision, proxies }))
        .sort((a, b) => a.revision - b.revision);
};

const add = (left: ServiceReport, right: ServiceReport): ServiceReport => ({
    ...left,
    subscribers: left.subscribers + right.subscribers,
    suppressing: left.suppressing + right.suppressing,
    holding: addHolding(left.holding, right.holding),
});

/** Takes in a child's report: its totals replace those it sent before, its evidence adds up. */
const receive = (
    state: ReportState,
    childId: string,
    services: readonly ServiceReport[],
    evidence: readonly Evidence[],
): ReportState => {
    const reports = new Map(state.children.get(childId));
    services.forEach((report) => reports.set(reportKey(report), report));
    const children = new Map(state.children).set(childId, reports);
    return { ...state, children, evidence: addEvidence(state.evidence, evidence) };
};

/** Forgets a child that is gone. */
const forget = (state: ReportState, childId: string): ReportState => {
    const children = new Map(state.children);
    children.delete(childId);
    return { ...state, children };
};

/** The totals over all children, by zone and service. */
const totals = (state: ReportState): ReadonlyMap<string, ServiceReport> => {
    const sums = new Map<string, ServiceReport>();
    for (const reports of state.children.values()) {
        for (const [key, report] of reports) {
            const present = sums.get(key);
            sums.set(key, present ? add(present, report) : report);
        }
    }
    return sums;
};

const emptied = (report: ServiceReport): ServiceReport => ({ ...report, subscribers: 0, suppressing: 0, holding: [] });

type Outgoing = {
    readonly state: ReportState;
    readonly services: readonly ServiceReport[];
    readonly evidence: readonly Evidence[];
};

/** Takes what must go upwards: totals that changed since the last time and the gathered evidence. */
const takeOutgoing = (state: ReportState): Outgoing => {
    const sums = totals(state);
    const changed = [...sums].filter(([key, report]) => canonicalJson(report) !== canonicalJson(state.sent.get(key)));
    const gone = [...state.sent].filter(([key, { subscribers }]) => !sums.has(key) && subscribers > 0);
    const services = [...changed.map(([, report]) => report), ...gone.map(([, report]) => emptied(report))];
    const sent = new Map([...state.sent, ...services.map((report) => [reportKey(report), report] as const)]);
    return { state: { ...state, sent, evidence: new Map() }, services, evidence: [...state.evidence.values()] };
};

/** Makes the next outgoing report a full one, for a new parent. */
const resetSent = (state: ReportState): ReportState => ({ ...state, sent: new Map() });

/** Aggregation of reports on their way up the relay tree. */
export const reporting = { initial, receive, forget, totals, takeOutgoing, resetSent } as const;
