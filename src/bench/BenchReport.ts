import { LatencyReport } from "./LatencyReport";
import { Measure } from "./Measure";
import { OverloadReport } from "./OverloadReport";
import { RolloutsReport } from "./RolloutsReport";

/** The results of one run of the bench. Written as JSON. */
export type BenchReport = {
    readonly firm: string;
    readonly seed: number;
    readonly faults: readonly string[];
    /** ISO 8601. */
    readonly startedAt: string;
    readonly measures: readonly Measure[];
    /** The results of the rollouts. */
    readonly moves: RolloutsReport;
    readonly overload: readonly OverloadReport[];
    readonly latency: readonly LatencyReport[];
};
