import { build, Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { RandomSource } from "../core/RandomSource";
import { proxyHeaders } from "../proxy/proxyHeaders";
import { LoadPlan } from "./LoadPlan";
import { LoadResult } from "./LoadResult";

const MICROSECONDS = 1_000;
const MS_PER_SECOND = 1_000;
const MAXIMUM_REASON_LENGTH = 160;
const NO_VERSION = "none";

const percentileMs = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS;

const increment = (counts: Map<string, number>, key: string): void => {
    counts.set(key, (counts.get(key) ?? 0) + 1);
};

const incrementAt = (counts: number[], index: number): void => {
    while (counts.length <= index) {
        counts.push(0);
    }
    counts[index] += 1;
};

/** Sends requests at a fixed rate, whether or not earlier ones were answered, and measures from the intended start. */
export class LoadRunner {
    private readonly histogram = build({ highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
    private readonly random: RandomSource;
    private readonly agent: Agent;
    private readonly byVersion = new Map<string, number>();
    private readonly failedByVersion = new Map<string, number>();
    private readonly firstFailure = new Map<string, number>();
    private readonly lastFailure = new Map<string, number>();
    private readonly reasons = new Map<string, number>();
    private readonly successes: number[] = [];
    private readonly failures: number[] = [];
    private sent = 0;
    private succeeded = 0;
    private refusedNotRun = 0;
    private unknownOutcome = 0;
    private misdelivered = 0;
    private late = 0;
    private startedMs = 0;
    private stopped = false;

    public constructor(private readonly plan: LoadPlan) {
        this.random = new RandomSource(plan.seed);
        this.agent = new Agent({ connections: plan.maximumConnections, pipelining: 1 });
    }

    /** Ends the load early. */
    public stop(): void {
        this.stopped = true;
    }

    /** What has been sent and has failed so far. */
    public get progress() {
        return { sent: this.sent, failedByVersion: new Map(this.failedByVersion) } as const;
    }

    public async run(): Promise<LoadResult> {
        const { durationMs, requestsPerSecond } = this.plan;
        const intervalMs = MS_PER_SECOND / requestsPerSecond;
        const inFlight = new Set<Promise<void>>();
        this.startedMs = performance.now();
        let nextMs = this.startedMs;
        while (nextMs < this.startedMs + durationMs && !this.stopped) {
            const waitMs = nextMs - performance.now();
            if (waitMs > 0) {
                await new Promise((resolve) => setTimeout(resolve, waitMs));
            }
            while (nextMs <= performance.now() && nextMs < this.startedMs + durationMs) {
                const sending = this.sendOne(nextMs);
                inFlight.add(sending);
                void sending.finally(() => inFlight.delete(sending));
                nextMs += intervalMs;
            }
        }
        await Promise.all(inFlight);
        await this.agent.destroy();
        return this.result();
    }

    private async sendOne(intendedMs: number): Promise<void> {
        const { service, targets, timeoutMs } = this.plan;
        const { method, path } = this.pickRequest();
        const number = this.sent;
        this.sent += 1;
        const requestId = `load-${this.plan.seed}-${number}`;
        const headers: Record<string, string> = {
            [proxyHeaders.service]: service,
            [proxyHeaders.requestId]: requestId,
            [proxyHeaders.deadlineMs]: String(timeoutMs),
        };
        if (method === "POST") {
            headers["idempotency-key"] = requestId;
        }
        try {
            const answer = await request(`http://${targets[number % targets.length]}${path}`, {
                dispatcher: this.agent,
                method,
                headers,
                body: method === "POST" ? "{}" : undefined,
                headersTimeout: timeoutMs * 2,
                bodyTimeout: timeoutMs * 2,
            });
            const text = await answer.body.text();
            this.note(intendedMs, answer.statusCode, answer.headers, text, requestId);
        }
        catch (error) {
            increment(this.reasons, `no answer: ${(error as Error).message}`);
            this.noteFailure(NO_VERSION, intendedMs);
            this.unknownOutcome += 1;
        }
    }

    private pickRequest(): LoadPlan["requests"][number] {
        const { requests } = this.plan;
        const total = requests.reduce((sum, { weight }) => sum + weight, 0);
        let rest = this.random.fraction() * total;
        return requests.find(({ weight }) => (rest -= weight) < 0) ?? requests[0];
    }

    private note(
        intendedMs: number,
        status: number,
        headers: Readonly<Record<string, unknown>>,
        text: string,
        requestId: string,
    ): void {
        const version = String(headers["x-backend-version"] ?? NO_VERSION);
        increment(this.byVersion, version);
        if (status >= 500) {
            this.noteFailure(version, intendedMs);
            const notRun = headers[proxyHeaders.notRun] !== undefined;
            this.refusedNotRun += notRun ? 1 : 0;
            this.unknownOutcome += headers[proxyHeaders.outcome] === "unknown" ? 1 : 0;
            increment(this.reasons, `${status} ${text.trim().slice(0, MAXIMUM_REASON_LENGTH)}`);
            return;
        }
        const echoed = (JSON.parse(text) as { readonly requestId?: string; }).requestId;
        this.misdelivered += echoed === requestId ? 0 : 1;
        const elapsedMs = performance.now() - intendedMs;
        this.succeeded += 1;
        this.histogram.recordValue(Math.max(0, Math.round(elapsedMs * MICROSECONDS)));
        if (elapsedMs > this.plan.timeoutMs) {
            this.late += 1;
            return;
        }
        incrementAt(this.successes, this.secondOf(intendedMs));
    }

    private noteFailure(version: string, intendedMs: number): void {
        increment(this.failedByVersion, version);
        incrementAt(this.failures, this.secondOf(intendedMs));
        const sinceMs = Math.round(performance.now() - this.startedMs);
        if (!this.firstFailure.has(version)) {
            this.firstFailure.set(version, sinceMs);
        }
        this.lastFailure.set(version, sinceMs);
    }

    private secondOf(timeMs: number): number {
        return Math.floor((timeMs - this.startedMs) / MS_PER_SECOND);
    }

    private result(): LoadResult {
        const { histogram, late, misdelivered, refusedNotRun, sent, succeeded, unknownOutcome } = this;
        return {
            sent,
            succeeded,
            failed: sent - succeeded,
            late,
            refusedNotRun,
            unknownOutcome,
            misdelivered,
            byBackendVersion: Object.fromEntries(this.byVersion),
            failedByBackendVersion: Object.fromEntries(this.failedByVersion),
            latencyMs: {
                p50: percentileMs(histogram, 50),
                p90: percentileMs(histogram, 90),
                p99: percentileMs(histogram, 99),
                maximum: histogram.maxValue / MICROSECONDS,
                mean: histogram.mean / MICROSECONDS,
            },
            successesPerSecond: this.successes,
            failuresPerSecond: this.failures,
            failureReasons: Object.fromEntries(this.reasons),
            firstFailureMs: Object.fromEntries(this.firstFailure),
            lastFailureMs: Object.fromEntries(this.lastFailure),
        };
    }
}
