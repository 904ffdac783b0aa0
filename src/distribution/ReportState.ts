import { RequestStatistics } from "./RequestStatistics";
import { ServiceReport } from "./ServiceReport";

/** Reports of this process and of its subtree. */
export type ReportState = {
    /**
     * The latest reports by id of the child, then by `reportKey`. The reports of this process itself are held under an
     * id of their own.
     */
    readonly children: ReadonlyMap<string, ReadonlyMap<string, ServiceReport>>;
    /** Request statistics not sent to the parent yet, by `statisticsKey`. */
    readonly statistics: ReadonlyMap<string, RequestStatistics>;
    /** The totals last sent to the parent, by `reportKey`. */
    readonly sent: ReadonlyMap<string, ServiceReport>;
};
