import { build, Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";
import { RandomSource } from "../core/RandomSource";
import { proxyHeaders } from "../proxy/proxyHeaders";
import { LoadPlan } from "./LoadPlan";
import { LoadResult } from "./LoadResult";

const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const MAXIMUM_REASON_LENGTH = 160;
const UNKNOWN_VERSION = "none";

const percentileMs = (histogram: Histogram, percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;

const increment = (counts: Map<string, number>, key: string): void => {
    counts.set(key, (counts.get(key) ?? 0) + 1);
};

const incrementAt = (counts: number[], index: number): void => {
    while (counts.length <= index) {
        counts.push(0);
    }
    counts[index] += 1;
};

/**
 * Sends requests at a fixed rate, whether or not earlier ones were answered. Measures latency from the time at which a
 * request was due to be sent.
 */
export class LoadRunner {
    /** Latencies of successful responses, in microseconds, up to 10 minutes. */
    private readonly histogram = build({ highestTrackableValue: 600_000_000, numberOfSignificantValueDigits: 3 });
    private readonly random: RandomSource;
    private readonly agent: Agent;
    private readonly answersByVersion = new Map<string, number>();
    private readonly failedByVersion = new Map<string, number>();
    private readonly firstFailureMsByVersion = new Map<string, number>();
    private readonly lastFailureMsByVersion = new Map<string, number>();
    private readonly failureCountsByReason = new Map<string, number>();
    private readonly successCountsBySecond: number[] = [];
    private readonly failureCountsBySecond: number[] = [];
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

    /** Stops sending requests. `run` returns after those in progress have ended. */
    public stop(): void {
        this.stopped = true;
    }

    /** The number of requests sent, and of failed ones by backend version, so far. */
    public get progress() {
        return { sent: this.sent, failedByVersion: new Map(this.failedByVersion) } as const;
    }

    /** Runs the load once. */
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
            this.recordAnswer(intendedMs, answer.statusCode, answer.headers, text, requestId);
        }
        catch (error) {
            increment(this.failureCountsByReason, `no answer: ${(error as Error).message}`);
            this.recordFailure(UNKNOWN_VERSION, intendedMs);
            this.unknownOutcome += 1;
        }
    }

    private pickRequest(): LoadPlan["requests"][number] {
        const { requests } = this.plan;
        const totalWeight = requests.reduce((sum, { weight }) => sum + weight, 0);
        let remainingWeight = this.random.fraction() * totalWeight;
        return requests.find(({ weight }) => (remainingWeight -= weight) < 0) ?? requests[0];
    }

    private recordAnswer(
        intendedMs: number,
        status: number,
        headers: Readonly<Record<string, unknown>>,
        text: string,
        requestId: string,
    ): void {
        const version = String(headers["x-backend-version"] ?? UNKNOWN_VERSION);
        increment(this.answersByVersion, version);
        if (status >= 500) {
            this.recordFailure(version, intendedMs);
            const notRun = headers[proxyHeaders.notRun] !== undefined;
            this.refusedNotRun += notRun ? 1 : 0;
            this.unknownOutcome += headers[proxyHeaders.outcome] === "unknown" ? 1 : 0;
            increment(this.failureCountsByReason, `${status} ${text.trim().slice(0, MAXIMUM_REASON_LENGTH)}`);
            return;
        }
        const echoedRequestId = (JSON.parse(text) as { readonly requestId?: string; }).requestId;
        this.misdelivered += echoedRequestId === requestId ? 0 : 1;
        const elapsedMs = performance.now() - intendedMs;
        this.succeeded += 1;
        this.histogram.recordValue(Math.max(0, Math.round(elapsedMs * MICROSECONDS_PER_MS)));
        if (elapsedMs > this.plan.timeoutMs) {
            this.late += 1;
            return;
        }
        incrementAt(this.successCountsBySecond, this.secondSinceStart(intendedMs));
    }

    private recordFailure(version: string, intendedMs: number): void {
        increment(this.failedByVersion, version);
        incrementAt(this.failureCountsBySecond, this.secondSinceStart(intendedMs));
        const sinceStartMs = Math.round(performance.now() - this.startedMs);
        if (!this.firstFailureMsByVersion.has(version)) {
            this.firstFailureMsByVersion.set(version, sinceStartMs);
        }
        this.lastFailureMsByVersion.set(version, sinceStartMs);
    }

    private secondSinceStart(timeMs: number): number {
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
            byBackendVersion: Object.fromEntries(this.answersByVersion),
            failedByBackendVersion: Object.fromEntries(this.failedByVersion),
            latencyMs: {
                p50: percentileMs(histogram, 50),
                p90: percentileMs(histogram, 90),
                p99: percentileMs(histogram, 99),
                maximum: histogram.maxValue / MICROSECONDS_PER_MS,
                mean: histogram.mean / MICROSECONDS_PER_MS,
            },
            successesPerSecond: this.successCountsBySecond,
            failuresPerSecond: this.failureCountsBySecond,
            failureReasons: Object.fromEntries(this.failureCountsByReason),
            firstFailureMs: Object.fromEntries(this.firstFailureMsByVersion),
            lastFailureMs: Object.fromEntries(this.lastFailureMsByVersion),
        };
    }
}
