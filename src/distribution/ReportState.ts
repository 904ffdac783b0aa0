import { Evidence } from "./Evidence";
import { ServiceReport } from "./ServiceReport";

/** What a process knows of the proxies below it. */
export type ReportState = {
    /** The latest reports by child, then by zone and service. The process itself counts as a child. */
    readonly children: ReadonlyMap<string, ReadonlyMap<string, ServiceReport>>;
    /** Evidence that was not sent upwards yet. */
    readonly evidence: ReadonlyMap<string, Evidence>;
    /** What was last sent upwards, by zone and service. */
    readonly sent: ReadonlyMap<string, ServiceReport>;
};
