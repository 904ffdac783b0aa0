import { LatencyReport } from "./LatencyReport";
import { Measure } from "./Measure";
import { MovesReport } from "./MovesReport";
import { OverloadReport } from "./OverloadReport";

/** Everything that one run of the bench measured. */
export type BenchReport = {
    readonly firm: string;
    readonly seed: number;
    readonly faults: readonly string[];
    readonly startedAt: string;
    readonly measures: readonly Measure[];
    readonly moves: MovesReport;
    readonly overload: readonly OverloadReport[];
    readonly latency: readonly LatencyReport[];
};
