import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { distributionTimings } from "./distributionTimings";
import { Evidence } from "./Evidence";
import { reporting } from "./reporting";
import { ReportState } from "./ReportState";
import { ServiceReport } from "./ServiceReport";

const OWN_CHILD = "";

/** Sends a report upwards. Returns false if there is no open parent, so that nothing is lost. */
type SendReport = (services: readonly ServiceReport[], evidence: readonly Evidence[]) => boolean;

/** Gathers the reports of the process itself and of its children and sends them upwards when they change. */
export class ReportTask implements Disposable {
    private readonly resources = new DisposableStore();
    private state: ReportState = reporting.initial;
    private dirty = false;

    public constructor(private readonly send: SendReport) {
        this.resources.every(distributionTimings.reportIntervalMs, () => this.flush());
    }

    public get present(): ReportState {
        return this.state;
    }

    public receive(childId: string, services: readonly ServiceReport[], evidence: readonly Evidence[]): void {
        this.state = reporting.receive(this.state, childId, services, evidence);
        this.dirty = true;
    }

    public reportOwn(services: readonly ServiceReport[], evidence: readonly Evidence[]): void {
        this.receive(OWN_CHILD, services, evidence);
    }

    public forget(childId: string): void {
        this.state = reporting.forget(this.state, childId);
        this.dirty = true;
    }

    /** A new parent knows nothing yet: the next report is a full one. */
    public startOver(): void {
        this.state = reporting.resetSent(this.state);
        this.dirty = true;
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private flush(): void {
        if (!this.dirty) {
            return;
        }
        const { evidence, services, state } = reporting.takeOutgoing(this.state);
        if (services.length === 0 && evidence.length === 0) {
            this.dirty = false;
            return;
        }
        if (this.send(services, evidence)) {
            this.state = state;
            this.dirty = false;
        }
    }
}
