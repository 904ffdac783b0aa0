import { RandomSource } from "../../core/RandomSource";
import { SystemClock } from "../../core/SystemClock";
import { CrashReport } from "../../crashes/CrashReport";
import { CallRequest } from "../CallRequest";
import { CallResult } from "../CallResult";
import { CrashHost } from "./CrashHost";

/** What is sent, and what else makes backend servers end. */
type LoadOptions = {
    readonly seed: number;
    /** Different requests that crash backend servers. */
    readonly crashingRequests: number;
    /** Copies of each that arrive within a moment, at any hosts. */
    readonly copies: number;
    /** Different contents of sound requests; each is sent once if undefined. */
    readonly soundContents?: number;
    /** Mean time between ends of a backend server that no request causes. */
    readonly otherEndsMs?: number;
    /** Interval at which all backend servers of a zone end at the same moment. */
    readonly zoneEndsMs?: number;
};

/** A caller's request with its resends. */
type CallerRequest = {
    readonly host: CrashHost;
    readonly service: string;
    readonly target: string;
};

/** The size of a small deployment: four zones, of which each has two backend servers of one service and one of another. */
const HOSTS = Array.from({ length: 12 }, (_, index) => ({
    zone: `zone-${index % 4}`,
    service: index < 8 ? "desk" : "dispatch",
}));
const SLOTS = 6;
const RUN_MS = 40;
const LINK_MS = 2;
const ANNOUNCEMENT_MS = 20;
const RESENDS = 2;
const CALLER_TIMEOUT_MS = 1_200;
const SOUND_INTERVAL_MS = 4;
const VOLLEY_INTERVAL_MS = 4_000;
const VOLLEY_SPREAD_MS = 150;

/** The platform's `Contact` bound. */
const CONTACT_MS = 3_000;

const CRASHING_PREFIX = "/crash/";

const pauseMs = (ms: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends sound and crashing requests to hosts in one process. Time is that of Jest's fake timers. */
export class CrashLoad {
    /** Sound requests, and those of them whose last answer was a refusal since backend servers crashed under them. */
    public sound = 0;
    public soundServed = 0;
    public soundRefused = 0;
    public ends = 0;
    public readonly hosts: readonly CrashHost[];
    private readonly random: RandomSource;
    private readonly runsMs = new Map<string, number[]>();
    /** The backend servers as the hosts know them, a moment late. */
    private backends: readonly CrashHost["backend"][] = [];
    private requestCount = 0;

    public constructor(private readonly options: LoadOptions) {
        this.random = new RandomSource(options.seed);
        const clock = new SystemClock();
        this.hosts = HOSTS.map(({ service, zone }, index) =>
            new CrashHost({
                index,
                zone,
                service,
                slots: SLOTS,
                clock,
                random: this.random,
                backends: () => this.backends,
                spread: (reports) => this.spread(index, reports),
                send: (nodeId, request, signal) => this.send(index, Number(nodeId), request, signal),
                onRun: ({ target }) => this.recordRun(target, clock.monotonicMs()),
                isCrashing: (target) => target.startsWith(CRASHING_PREFIX),
                runMs: RUN_MS,
            })
        );
        this.backends = this.hosts.map(({ backend }) => backend);
    }

    /** Runs of crashing requests later than `Contact` after the third run of the same content, the most of any. */
    public get lateRuns(): number {
        return Math.max(
            0,
            ...[...this.runsMs.values()].map((times) => times.filter((atMs) => atMs > times[2] + CONTACT_MS).length),
        );
    }

    /** True if each crashing request has run so often that it must be refused. */
    public get hasCrashedEnough(): boolean {
        const { crashingRequests } = this.options;
        return this.runsMs.size === crashingRequests && [...this.runsMs.values()].every(({ length }) => length >= 3);
    }

    /** Sends everything for some time. Time has to be advanced meanwhile. */
    public async run(durationMs: number): Promise<void> {
        const { copies, crashingRequests, otherEndsMs, zoneEndsMs } = this.options;
        const timers = [
            setInterval(() => this.backends = this.hosts.map(({ backend }) => backend), ANNOUNCEMENT_MS),
            setInterval(() => void this.sendSound(), SOUND_INTERVAL_MS),
            setInterval(() => {
                for (let count = 0; count < crashingRequests * copies; count += 1) {
                    void this.sendCrashing(count % crashingRequests);
                }
            }, VOLLEY_INTERVAL_MS),
            ...(otherEndsMs === undefined ? [] : [setInterval(() => this.endOne(), otherEndsMs)]),
            ...(zoneEndsMs === undefined ? [] : [setInterval(() => this.endZone(), zoneEndsMs)]),
        ];
        await pauseMs(durationMs);
        timers.forEach((timer) => clearInterval(timer));
        await pauseMs(CALLER_TIMEOUT_MS * RESENDS);
    }

    private recordRun(target: string, atMs: number): void {
        if (target.startsWith(CRASHING_PREFIX)) {
            this.runsMs.set(target, [...this.runsMs.get(target) ?? [], atMs]);
        }
    }

    private spread(from: number, reports: readonly CrashReport[]): void {
        this.hosts.forEach((host, index) => {
            if (index !== from && host.isConnected && this.hosts[from].isConnected) {
                setTimeout(() => host.evidence.receive(reports), LINK_MS * (0.5 + this.random.fraction()));
            }
        });
    }

    private async send(from: number, to: number, request: CallRequest, signal: AbortSignal): Promise<CallResult> {
        await pauseMs(from === to ? 0 : LINK_MS);
        const result = await this.hosts[to].receiver.receive(String(from), request, signal);
        await pauseMs(from === to ? 0 : LINK_MS);
        return result;
    }

    /** Sends a request and, as callers do, again after a failure as long as there is time. Returns the last result. */
    private async callWithResends({ host, service, target }: CallerRequest): Promise<CallResult> {
        const deadlineMs = performance.now() + CALLER_TIMEOUT_MS;
        for (let resend = 0;; resend += 1) {
            this.requestCount += 1;
            const remainingMs = deadlineMs - performance.now();
            const result = await host.call(`r-${this.requestCount}`, service, target, remainingMs);
            const leftMs = deadlineMs - performance.now();
            if (result.kind === "answered" || resend >= RESENDS || leftMs < RUN_MS) {
                return result;
            }
            await pauseMs(Math.min(result.kind === "not-run" ? result.retryAfterMs : 0, leftMs / 3));
        }
    }

    private async sendSound(): Promise<void> {
        const { soundContents } = this.options;
        const number = soundContents === undefined ? this.sound : this.random.integer(1, soundContents);
        this.sound += 1;
        const host = this.random.pick(this.hosts);
        const service = this.random.fraction() < 0.6 ? "desk" : "dispatch";
        const result = await this.callWithResends({ host, service, target: `/sound/${service}/${number}` });
        this.soundServed += result.kind === "answered" ? 1 : 0;
        this.soundRefused += result.kind === "not-run" && result.reason === "crashes-backends" ? 1 : 0;
    }

    private async sendCrashing(number: number): Promise<void> {
        const host = this.random.pick(this.hosts);
        await pauseMs(this.random.integer(0, VOLLEY_SPREAD_MS));
        const service = number % 2 === 0 ? "dispatch" : "desk";
        await this.callWithResends({ host, service, target: `${CRASHING_PREFIX}${number}` });
    }

    private endOne(): void {
        this.ends += 1;
        this.random.pick(this.hosts).crash();
    }

    private endZone(): void {
        const { zone } = this.random.pick(this.hosts);
        this.ends += 1;
        this.hosts.filter((host) => host.zone === zone).forEach((host) => host.crash());
    }
}
