import { Clock } from "../../core/Clock";
import { RandomSource } from "../../core/RandomSource";
import { CrashEvidenceTask } from "../../crashes/CrashEvidenceTask";
import { BackendClient } from "../BackendClient";
import { BackendSelector } from "../BackendSelector";
import { BackendViews } from "../BackendViews";
import { CallDispatcher } from "../CallDispatcher";
import { CallReceiver } from "../CallReceiver";
import { CallRequest } from "../CallRequest";
import { CallResult } from "../CallResult";
import { CallTask } from "../CallTask";
import { CrashGuard } from "../CrashGuard";
import { HealthCheckClient } from "../HealthCheckClient";
import { NestedCalls } from "../NestedCalls";
import { RoutableBackend } from "../RoutableBackend";
import { RouteStatistics } from "../RouteStatistics";
import { splitByZone } from "../splitByZone";
import { noLateness } from "./noLateness";
import { sampleZoneSettings } from "./sampleZoneSettings";

type HostOptions = {
    readonly zone: string;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly evidence: CrashEvidenceTask;
    /** The backend servers as the host knows them. */
    readonly backends: () => readonly RoutableBackend[];
    /** Sends a request to the node on the host of a backend server. */
    readonly send: (nodeId: string, request: CallRequest, signal: AbortSignal) => Promise<CallResult>;
    /** Runs a request at the backend server of the host. */
    readonly run: (request: CallRequest, signal: AbortSignal) => Promise<CallResult>;
    readonly onRun?: (request: CallRequest, result: CallResult, slotMs: number, lateMs: number) => void;
};

/** Creates a host's own parts for requests, connected to others by functions instead of a network. */
export const createCallHost = (options: HostOptions) => {
    const { backends, clock, evidence, onRun, random, run, send, zone } = options;
    const nestedCalls = new NestedCalls();
    const receiver = new CallReceiver({
        clock,
        turns: noLateness,
        nestedCalls,
        client: {
            send: (_address: string, request: CallRequest, _timeoutMs: number, signal: AbortSignal) =>
                run(request, signal),
            closeIdle: () => undefined,
        } as unknown as BackendClient,
        crashGuard: new CrashGuard({ clock, evidence, isPlannedEnd: () => false }),
        healthChecks: {} as HealthCheckClient,
        cold: { overage: 1, slack: 0 },
        onColdChange: () => undefined,
        onHealthCheck: () => undefined,
        drainGraceMs: 1_000,
        onNotice: () => undefined,
        onStart: () => undefined,
        onRun: onRun ?? (() => undefined),
        onNotServed: () => undefined,
    });
    const views = new BackendViews();
    const statistics = new RouteStatistics();
    const backendsOf = (service: string) =>
        splitByZone(backends().filter((backend) => backend.service === service), zone);
    const dispatcher = new CallDispatcher({
        clock,
        turns: noLateness,
        calls: {
            send: (
                nodeId: string,
                _address: string,
                request: CallRequest,
                _idempotent: boolean,
                signal: AbortSignal,
            ) => send(nodeId, request, signal),
        } as unknown as CallTask,
        views,
        statistics,
        nestedCalls,
        crashEvidence: evidence,
        isEvacuated: () => false,
        selector: new BackendSelector({
            ...sampleZoneSettings,
            zone,
            clock,
            random,
            views,
            statistics,
            backendsOf,
            stableBackendsOf: backendsOf,
        }),
        allowance: { ratio: 0.1, windowMs: 10_000, slack: 1 },
        onAttempt: () => undefined,
    });
    return { receiver, dispatcher, nestedCalls, views, statistics } as const;
};
