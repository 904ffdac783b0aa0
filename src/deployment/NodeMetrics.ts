import { Counter, Histogram } from "prom-client";
import { ZoneReason } from "../calls/ZoneReason";
import { ProcessMetrics } from "../metrics/ProcessMetrics";
import { SlotUsage } from "../metrics/SlotUsage";

/** Functions that return the current values of a node's gauges. */
type NodeReadings = {
    readonly configurationVersion: () => number;
    readonly knownBackends: () => number;
    readonly activeRequests: () => number;
    /** Requests that wait until earlier ones of their connection have been answered. */
    readonly pipelinedRequests: () => number;
    /** Running and queued requests for the backend server of this host. */
    readonly activeBackendRequests: () => number;
    /** Bytes of responses that the backend server of this host has not completed. */
    readonly pendingResponseBytes: () => number;
    /** Bytes of the bodies that other nodes are sending to this one. */
    readonly pendingBodyBytes: () => number;
    /** Bytes of the bodies of callers' requests. */
    readonly callerBodyBytes: () => number;
    /** Bytes of responses that callers have not read. */
    readonly unreadResponseBytes: () => number;
    /** The lowest limit on the rate of requests to the backend server of this host; undefined without one. */
    readonly backendLimit: () => { readonly perSecond: number; readonly reason: string; } | undefined;
    /** Zones whose evacuation is in force here. */
    readonly evacuatedZones: () => number;
    /** Requests, by content, under which backend servers crashed lately. */
    readonly crashSuspects: () => number;
    /** Those that are refused now. */
    readonly refusedFingerprints: () => number;
    readonly openedConnections: () => number;
    /** Requests of accounts with a quota that may be admitted now. */
    readonly quotaTokens: () => number;
    readonly droppedLogLines: () => number;
    /** Time left of the lease for requests with keys; undefined if this node needs none. */
    readonly leaseRemainingMs: () => number | undefined;
};

/** Target latencies of ordinary routes lie between 0.1 s and 1 s. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 4];

/** The metrics of a node. Each label has only a few values and never holds an id. */
export class NodeMetrics extends ProcessMetrics {
    public readonly slotUsage = new SlotUsage(this.registry);
    private readonly requests: Counter;
    private readonly answered: Counter;
    private readonly latency: Histogram;
    private readonly requestUnconfirmed: Histogram;
    private readonly requestAge: Histogram;
    private readonly disconnections: Counter;
    private readonly attempts: Counter;
    private readonly refusals: Counter;
    private readonly limitRefusals: Counter;
    private readonly healthChecks: Counter;
    private readonly invalidResponses: Counter;
    private readonly rejectedConfigurations: Counter;
    private readonly quotaDecisions: Counter;
    private readonly zoneChoices: Counter;
    private readonly departures: Counter;

    public constructor(readings: NodeReadings) {
        super();
        const registers = [this.registry];
        this.requests = new Counter({
            name: "filbertdeal_requests_total",
            help: "Requests of callers, by status and, where this node answered itself, the reason",
            labelNames: ["status", "reason"],
            registers,
        });
        this.answered = new Counter({
            name: "filbertdeal_answered_requests_total",
            help: "Requests that a backend server answered, by whether this node knows an earlier attempt, and outcome",
            labelNames: ["attempt", "outcome"],
            registers,
        });
        this.latency = new Histogram({
            name: "filbertdeal_request_seconds",
            help: "Time from a caller's request to its answer",
            buckets: LATENCY_BUCKETS_SECONDS,
            registers,
        });
        this.requestAge = new Histogram({
            name: "filbertdeal_request_age_seconds",
            help: "Age of requests when this node read them, by whether a caller or another node sent them",
            labelNames: ["sender"],
            buckets: LATENCY_BUCKETS_SECONDS,
            registers,
        });
        this.requestUnconfirmed = new Histogram({
            name: "filbertdeal_request_unconfirmed_seconds",
            help: "For how long callers may have left unnoticed when their requests were sent to the backend server",
            buckets: LATENCY_BUCKETS_SECONDS,
            registers,
        });
        this.quotaDecisions = new Counter({
            name: "filbertdeal_quota_requests_total",
            help: "Requests of accounts with a quota, by decision",
            labelNames: ["outcome"],
            registers,
        });
        this.disconnections = new Counter({
            name: "filbertdeal_caller_disconnections_total",
            help: "Callers' connections closed so that this process stays within a limit, by reason",
            labelNames: ["reason"],
            registers,
        });
        this.attempts = new Counter({
            name: "filbertdeal_attempts_total",
            help: "Attempts at requests of callers, by outcome",
            labelNames: ["outcome"],
            registers,
        });
        this.refusals = new Counter({
            name: "filbertdeal_backend_refusals_total",
            help: "Requests for the backend server of this host that were not served, by reason",
            labelNames: ["reason"],
            registers,
        });
        this.limitRefusals = new Counter({
            name: "filbertdeal_backend_limit_refusals_total",
            help: "Those that were not served because of a limit on the rate of requests, by its reason",
            labelNames: ["reason"],
            registers,
        });
        this.healthChecks = new Counter({
            name: "filbertdeal_backend_health_checks_total",
            help: "Health checks of the backend server of this host, by outcome",
            labelNames: ["outcome"],
            registers,
        });
        this.rejectedConfigurations = new Counter({
            name: "filbertdeal_configuration_rejections_total",
            help: "Configurations from control replicas that could not be read or did not match their digest",
            registers,
        });
        this.invalidResponses = new Counter({
            name: "filbertdeal_invalid_responses_total",
            help: "Connections to the backend server that were destroyed because of what it sent, by reason",
            labelNames: ["reason"],
            registers,
        });
        this.zoneChoices = new Counter({
            name: "filbertdeal_zone_choices_total",
            help: "Attempts of a node with a narrow link, by service, the zone that they were sent to, and the reason",
            labelNames: ["service", "zone", "reason"],
            registers,
        });
        this.departures = new Counter({
            name: "filbertdeal_departures_total",
            help:
                "Departures of backend servers from this host, by whether they were stored elsewhere and acknowledged",
            labelNames: ["outcome"],
            registers,
        });
        this.gauge("configuration_version", "Version of the configuration in force", readings.configurationVersion);
        this.gauge("known_backends", "Backend servers that requests may be sent to", readings.knownBackends);
        this.gauge("active_requests", "Requests of callers in progress", readings.activeRequests);
        this.gauge(
            "pipelined_waiting_requests",
            "Requests of callers that wait for earlier ones of their connection",
            readings.pipelinedRequests,
        );
        this.gauge(
            "backend_active_requests",
            "Requests that run or wait here",
            readings.activeBackendRequests,
        );
        this.gauge("pending_response_bytes", "Bytes of unfinished responses", readings.pendingResponseBytes);
        this.gauge("pending_body_bytes", "Bytes of bodies that other nodes are sending", readings.pendingBodyBytes);
        this.gauge("caller_body_bytes", "Bytes of the bodies of callers' requests", readings.callerBodyBytes);
        this.gauge(
            "unread_response_bytes",
            "Bytes of responses that callers have not read",
            readings.unreadResponseBytes,
        );
        this.gauge(
            "backend_request_limit",
            "Lowest limit in effect of requests a second to the backend server of this host; -1 without a limit",
            () => readings.backendLimit()?.perSecond ?? -1,
        );
        this.gauge("quota_tokens", "Requests of accounts with a quota that may be admitted now", readings.quotaTokens);
        this.gauge(
            "backend_limit_is_cold",
            "1 if that limit is in effect because the backend server is cold or may be",
            () => (readings.backendLimit()?.reason === "cold" ? 1 : 0),
        );
        this.gauge(
            "crash_suspects",
            "Requests, by content, under which backend servers crashed lately",
            readings.crashSuspects,
        );
        this.gauge(
            "crash_refused_requests",
            "Requests, by content, that are refused since backend servers crashed under them",
            readings.refusedFingerprints,
        );
        this.gauge("evacuated_zones", "Zones whose evacuation is in force", readings.evacuatedZones);
        this.gauge(
            "backend_connections_opened",
            "Connections to the backend server so far",
            readings.openedConnections,
        );
        this.gauge(
            "lease_seconds_left",
            "Time left of the lease for requests with keys; 0 without one, -1 if none is needed",
            () => this.toSeconds(readings.leaseRemainingMs()),
        );
        this.gauge(
            "log_lines_dropped",
            "Log lines that found no reader so far",
            readings.droppedLogLines,
        );
    }

    public countRequest(status: number, reason: string, elapsedMs: number): void {
        this.requests.inc({ status: String(status), reason });
        this.latency.observe(elapsedMs / 1_000);
    }

    public countAnswered(isResend: boolean, outcome: "in-time" | "late" | "failed"): void {
        this.answered.inc({ attempt: isResend ? "later" : "first", outcome });
    }

    /** @param ageMs time from when the sender sent it until this node read it */
    public observeRequestAge(sender: "caller" | "node", ageMs: number): void {
        this.requestAge.observe({ sender }, ageMs / 1_000);
    }

    /** @param unconfirmedMs for how long the caller of a request that starts may have left unnoticed */
    public observeStart(unconfirmedMs: number): void {
        this.requestUnconfirmed.observe(unconfirmedMs / 1_000);
    }

    public countDisconnection(reason: string): void {
        this.disconnections.inc({ reason });
    }

    public countAttempt(outcome: string): void {
        this.attempts.inc({ outcome });
    }

    public countQuotaDecision(outcome: string): void {
        this.quotaDecisions.inc({ outcome });
    }

    /** @param limitedBy reason of the limit on the rate of requests that caused it, if one did */
    public countRefusal(reason: string, limitedBy: string | undefined): void {
        this.refusals.inc({ reason });
        if (limitedBy !== undefined) {
            this.limitRefusals.inc({ reason: limitedBy });
        }
    }

    public countHealthCheck(outcome: string): void {
        this.healthChecks.inc({ outcome });
    }

    public countDeparture(outcome: string): void {
        this.departures.inc({ outcome });
    }

    private toSeconds(remainingMs: number | undefined): number {
        return remainingMs === undefined ? -1 : remainingMs / 1_000;
    }

    public countInvalidResponse(reason: string): void {
        this.invalidResponses.inc({ reason });
    }

    public countRejectedConfiguration(): void {
        this.rejectedConfigurations.inc();
    }

    public countZoneChoice(service: string, zone: string, reason: ZoneReason): void {
        this.zoneChoices.inc({ service, zone, reason });
    }
}
