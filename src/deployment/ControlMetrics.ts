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

    /**
     * @param read returns undefined while the replica restarts
     * @param droppedLogLines returns the number of log lines dropped so far
     */
    public constructor(read: () => ControlReadings | undefined, droppedLogLines: () => number) {
        super();
        const registers = [this.registry];
        this.operatorRequests = new Counter({
            name: "filbertdeal_control_orders_total",
            help: "Operator requests by kind and outcome",
            labelNames: ["order", "outcome"],
            registers,
        });
        this.operatorRequestDuration = new Histogram({
            name: "filbertdeal_control_order_seconds",
            help: "Duration of operator requests",
            buckets: OPERATOR_REQUEST_BUCKETS_SECONDS,
            registers,
        });
        this.diskFailures = new Counter({
            name: "filbertdeal_control_disk_failures_total",
            help: "Restarts of the replica after a failed disk write",
            registers,
        });
        this.gauge("control_running", "1 unless the replica is restarting", () => (read() ? 1 : 0));
        this.gauge("control_leader", "1 if this replica is the leader", () => this.toGaugeValue(read()?.isLeader));
        this.gauge("control_term", "Current consensus term", () => read()?.term);
        this.gauge(
            "control_commit_index",
            "Last log entry known to be stored by a majority",
            () => read()?.commitIndex,
        );
        this.gauge("control_applied_index", "Last log entry applied by this replica", () => read()?.appliedIndex);
        this.gauge("control_voters", "Voting replicas of the group", () => read()?.voters);
        this.gauge("control_learners", "Non-voting replicas of the group", () => read()?.learners);
        this.gauge("control_members", "Processes of the mesh not known to have failed or left", () => read()?.members);
        this.gauge("configuration_version", "Version of the newest configuration", () => read()?.configurationVersion);
        this.gauge("running_moves", "Running moves between backend versions", () => read()?.runningMoves);
        this.gauge(
            "log_lines_dropped",
            "Log lines dropped because the output was not read fast enough",
            droppedLogLines,
        );
    }

    public countOperatorRequest(operation: string, outcome: string, elapsedMs: number): void {
        this.operatorRequests.inc({ order: operation, outcome });
        this.operatorRequestDuration.observe(elapsedMs / 1_000);
    }

    public countDiskFailure(): void {
        this.diskFailures.inc();
    }

    private toGaugeValue(value: boolean | undefined): number | undefined {
        return value === undefined ? undefined : Number(value);
    }
}
