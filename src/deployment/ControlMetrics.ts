import { Counter, Histogram } from "prom-client";
import { ProcessMetrics } from "../metrics/ProcessMetrics";
import { ControlReadings } from "./ControlReadings";

/** A change takes a few disk syncs and round trips; beyond the last bound operators have given up. */
const OPERATOR_REQUEST_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

/** The metrics of a control replica. Each label has only a few values and never holds an id. */
export class ControlMetrics extends ProcessMetrics {
    private readonly operatorRequests: Counter;
    private readonly operatorRequestDuration: Histogram;
    private readonly diskFailures: Counter;
    private readonly leaseRenewals: Counter;
    private readonly stateReplacements: Counter;

    /**
     * @param read returns undefined while the replica restarts
     * @param droppedLogLines returns the number of log lines dropped so far
     */
    public constructor(read: () => ControlReadings | undefined, droppedLogLines: () => number) {
        super();
        const registers = [this.registry];
        this.operatorRequests = new Counter({
            name: "filbertdeal_control_orders_total",
            help: "Requests of operators, by kind and outcome",
            labelNames: ["order", "outcome"],
            registers,
        });
        this.operatorRequestDuration = new Histogram({
            name: "filbertdeal_control_order_seconds",
            help: "Time from a request of an operator to its outcome",
            buckets: OPERATOR_REQUEST_BUCKETS_SECONDS,
            registers,
        });
        this.diskFailures = new Counter({
            name: "filbertdeal_control_disk_failures_total",
            help: "Times that the disk refused a write and the replica was started anew",
            registers,
        });
        this.stateReplacements = new Counter({
            name: "filbertdeal_control_state_replacements_total",
            help: "Times that the state of this replica differed from the leader's and was asked for again",
            registers,
        });
        this.leaseRenewals = new Counter({
            name: "filbertdeal_control_lease_renewals_total",
            help: "Renewals of nodes' leases for requests with keys, by outcome",
            labelNames: ["outcome"],
            registers,
        });
        this.gauge("control_running", "1 unless the replica is being started anew", () => (read() ? 1 : 0));
        this.gauge("control_leader", "1 if this replica leads", () => this.toGaugeValue(read()?.isLeader));
        this.gauge("control_term", "Term of the consensus", () => read()?.term);
        this.gauge(
            "control_commit_index",
            "Last entry known to be on a majority of disks",
            () => read()?.commitIndex,
        );
        this.gauge("control_applied_index", "Last entry that was carried out here", () => read()?.appliedIndex);
        this.gauge("control_voters", "Voting replicas of the group", () => read()?.voters);
        this.gauge("control_learners", "Replicas that follow without a vote", () => read()?.learners);
        this.gauge(
            "control_unresponsive_members",
            "Members of the group that stopped responding to this leader",
            () => read()?.unresponsiveMembers,
        );
        this.gauge(
            "control_state_confirmed",
            "1 once a leader has confirmed the state since the start",
            () => this.toGaugeValue(read()?.isStateConfirmed),
        );
        this.gauge("control_members", "Processes of the mesh believed to be present", () => read()?.members);
        this.gauge("configuration_version", "Version of the newest configuration", () => read()?.configurationVersion);
        this.gauge("running_moves", "Moves between versions in progress", () => read()?.runningRollouts);
        this.gauge("evacuated_zones", "Zones whose evacuation was accepted", () => read()?.evacuatedZones);
        this.gauge(
            "crash_refused_requests",
            "Requests, by content, that are refused since backend servers crashed under them",
            () => read()?.refusedRequests,
        );
        this.gauge("quota_tokens_granted", "Tokens granted to nodes so far", () => read()?.grantedTokens);
        this.gauge(
            "quota_accounts_exhausted",
            "Accounts with demand and no token left, on the leader",
            () => read()?.exhaustedAccounts,
        );
        this.gauge(
            "log_lines_dropped",
            "Log lines that found no reader so far",
            droppedLogLines,
        );
    }

    public countOperatorRequest(operation: string, outcome: string, elapsedMs: number): void {
        this.operatorRequests.inc({ order: operation, outcome });
        this.operatorRequestDuration.observe(elapsedMs / 1_000);
    }

    public countLeases(outcome: string, renewals: number): void {
        this.leaseRenewals.inc({ outcome }, renewals);
    }

    public countStateReplacement(): void {
        this.stateReplacements.inc();
    }

    public countDiskFailure(): void {
        this.diskFailures.inc();
    }

    private toGaugeValue(value: boolean | undefined): number | undefined {
        return value === undefined ? undefined : Number(value);
    }
}
