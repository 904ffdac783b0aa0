import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { distributionTimings } from "./distributionTimings";
import { reportAggregation } from "./reportAggregation";
import { ReportState } from "./ReportState";
import { RequestStatistics } from "./RequestStatistics";
import { ServiceReport } from "./ServiceReport";

/** Stands for this process among the ids of its children. */
const OWN_REPORTS_ID = "";

/** Sends a report to the parent. Returns false if it could not be sent; the report is then kept and tried again. */
type SendReport = (services: readonly ServiceReport[], statistics: readonly RequestStatistics[]) => boolean;

/** Collects the reports of this process and of its children and sends them to the parent when they change. */
export class ReportTask implements Disposable {
    private readonly resources = new DisposableStore();
    private state: ReportState = reportAggregation.initial;
    private changedSinceSent = false;

    public constructor(private readonly send: SendReport) {
        this.resources.every(distributionTimings.reportIntervalMs, () => this.flush());
    }

    /** The current reports. */
    public get current(): ReportState {
        return this.state;
    }

    /** Replaces the totals of a child and adds its request statistics. */
    public receive(
        childId: string,
        services: readonly ServiceReport[],
        statistics: readonly RequestStatistics[],
    ): void {
        this.state = reportAggregation.receive(this.state, childId, services, statistics);
        this.changedSinceSent = true;
    }

    /** Replaces the totals of this process and adds its request statistics. */
    public reportOwn(services: readonly ServiceReport[], statistics: readonly RequestStatistics[]): void {
        this.receive(OWN_REPORTS_ID, services, statistics);
    }

    /** Removes the totals of a child that has disconnected. */
    public forget(childId: string): void {
        this.state = reportAggregation.forget(this.state, childId);
        this.changedSinceSent = true;
    }

    /** Makes the next report a complete one, for a parent that has received none yet. */
    public resendAll(): void {
        this.state = reportAggregation.resetSent(this.state);
        this.changedSinceSent = true;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private flush(): void {
        if (!this.changedSinceSent) {
            return;
        }
        const { statistics, services, state } = reportAggregation.takeOutgoing(this.state);
        if (services.length === 0 && statistics.length === 0) {
            this.changedSinceSent = false;
            return;
        }
        if (this.send(services, statistics)) {
            this.state = state;
            this.changedSinceSent = false;
        }
    }
}
