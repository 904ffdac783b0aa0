import { sampleConfiguration } from "../../configuration/__tests__/sampleConfiguration";
import { Clock } from "../../core/Clock";
import { RandomSource } from "../../core/RandomSource";
import { createCrashEvidence } from "../../crashes/__tests__/createCrashEvidence";
import { CrashEvidenceTask } from "../../crashes/CrashEvidenceTask";
import { CrashReport } from "../../crashes/CrashReport";
import { CallDispatcher } from "../CallDispatcher";
import { CallReceiver } from "../CallReceiver";
import { CallRequest } from "../CallRequest";
import { CallResult } from "../CallResult";
import { RoutableBackend } from "../RoutableBackend";
import { createCallHost } from "./createCallHost";
import { sampleRequest } from "./sampleRequest";

type HostOptions = {
    readonly index: number;
    readonly zone: string;
    readonly service: string;
    readonly slots: number;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly backends: () => readonly RoutableBackend[];
    readonly spread: (reports: readonly CrashReport[]) => void;
    readonly send: (nodeId: string, request: CallRequest, signal: AbortSignal) => Promise<CallResult>;
    /** Called for each request that the backend server begins to run. */
    readonly onRun: (request: CallRequest) => void;
    /** Requests to this path end the backend server. */
    readonly isCrashing: (target: string) => boolean;
    readonly runMs: number;
};

type RunningRequest = { readonly end: (result: CallResult) => void; };

const RESTART_MS = 3_000;

const answered: CallResult = {
    kind: "answered",
    answer: { status: 200, reason: "OK", headers: [], body: Buffer.alloc(0) },
};

/** A host with the node's own parts for requests and crashes, and a backend server that requests can crash. */
export class CrashHost {
    public readonly evidence: CrashEvidenceTask;
    public readonly receiver: CallReceiver;
    /** False while a link from and to other hosts is cut. */
    public isConnected = true;
    private readonly dispatcher: CallDispatcher;
    private readonly running = new Set<RunningRequest>();
    private starts = 1;
    private isDown = false;

    public constructor(private readonly options: HostOptions) {
        const { backends, clock, random, send, slots, spread, zone } = options;
        this.evidence = createCrashEvidence({
            clock,
            versions: ["v1"],
            spread,
            onRefused: (...refused) => this.receiver.refuseCrashing(...refused),
        });
        const { dispatcher, receiver } = createCallHost({
            zone,
            clock,
            random,
            evidence: this.evidence,
            backends,
            send,
            run: (request, signal) => this.runRequest(request, signal),
        });
        this.dispatcher = dispatcher;
        this.receiver = receiver;
        this.announce(slots);
    }

    public get zone(): string {
        return this.options.zone;
    }

    public get service(): string {
        return this.options.service;
    }

    public get isRunning(): boolean {
        return !this.isDown;
    }

    /** The backend server as other hosts know it. */
    public get backend(): RoutableBackend {
        const { index, service, slots, zone } = this.options;
        return {
            nodeId: String(index),
            address: "",
            zone,
            service,
            version: "v1",
            instanceId: this.instanceId,
            bornMs: this.starts,
            slots,
            warmAtMs: 0,
        };
    }

    /** Sends a caller's request once. */
    public call(id: string, service: string, target: string, timeoutMs: number): Promise<CallResult> {
        const nowMs = this.options.clock.monotonicMs();
        return this.dispatcher.dispatch({
            route: { ...sampleConfiguration(1).routes[0], name: service, maximumAttempts: 2 },
            service,
            request: sampleRequest(id, { service, target, route: service }),
            targetAtMs: nowMs + timeoutMs / 3,
            deadlineMs: nowMs + timeoutMs,
            signal: new AbortController().signal,
        });
    }

    /** Ends the backend server with all requests that it runs, and starts another one after a while. */
    public crash(): void {
        if (this.isDown) {
            return;
        }
        this.isDown = true;
        this.running.forEach(({ end }) => end({ kind: "unknown", reason: "backend-ended" }));
        setTimeout(() => {
            this.isDown = false;
            this.starts += 1;
            this.announce(this.options.slots);
        }, RESTART_MS);
    }

    private get instanceId(): string {
        return `i-${this.options.index}.${this.starts}`;
    }

    private announce(slots: number): void {
        this.receiver.updateInstance({
            id: this.instanceId,
            service: this.options.service,
            version: "v1",
            address: "",
            slots,
            bornMs: this.starts,
            sequence: 1,
            drainingSinceMs: undefined,
            warmAtMs: 0,
        });
    }

    private runRequest(request: CallRequest, signal: AbortSignal): Promise<CallResult> {
        const { isCrashing, onRun, random, runMs } = this.options;
        if (this.isDown) {
            return Promise.resolve({ kind: "not-run", reason: "unreachable", retryAfterMs: 0 });
        }
        onRun(request);
        return new Promise((resolve) => {
            const end = (result: CallResult): void => {
                clearTimeout(timer);
                this.running.delete(run);
                resolve(result);
            };
            const run: RunningRequest = { end };
            const timer = setTimeout(
                () => isCrashing(request.target) ? this.crash() : end(answered),
                runMs * (0.5 + random.fraction()),
            );
            this.running.add(run);
            signal.addEventListener("abort", () => end({ kind: "unknown", reason: "cancelled" }), { once: true });
        });
    }
}
