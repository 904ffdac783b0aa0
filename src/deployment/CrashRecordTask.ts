import { ProposalOutcome } from "../consensus/ProposalOutcome";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { crashRecords } from "../crashes/crashRecords";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";

/** Dependencies of a `CrashRecordTask`. */
type CrashRecordOptions = {
    readonly clock: Clock;
    readonly log: Pick<EventLog, "infoRateLimited">;
    readonly evidence: Pick<CrashEvidenceTask, "learn" | "refusedReports">;
    readonly state: () => DeploymentState;
    readonly isLeading: () => boolean;
    readonly propose: (command: DeploymentCommand) => Promise<ProposalOutcome>;
};

const INTERVAL_MS = 500;

/**
 * Keeps the refusals of requests that crash backend servers in the replicated log, so that they outlast a restart of all
 * processes. Requests and the spreading of crash reports don't wait for it.
 */
export class CrashRecordTask implements Disposable {
    private readonly resources = new DisposableStore();
    private learned: DeploymentState["crashRecords"] | undefined;
    private isProposing = false;

    public constructor(private readonly options: CrashRecordOptions) {
        this.resources.every(INTERVAL_MS, () => void this.synchronize());
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    /** Takes in what the log holds, and as leader proposes what it lacks. */
    public async synchronize(): Promise<void> {
        const { clock, evidence, isLeading, log, propose, state } = this.options;
        const { crashRecords: records } = state();
        if (records !== this.learned) {
            this.learned = records;
            records.forEach((record) => evidence.learn(crashRecords.toReport(record, clock.wallMs())));
        }
        const change = crashRecords.difference(records, evidence.refusedReports(), clock.wallMs());
        if (!isLeading() || this.isProposing || change.stored.length + change.removed.length === 0) {
            return;
        }
        this.isProposing = true;
        const { kind } = await propose({ kind: "record-crashes", ...change });
        this.isProposing = false;
        log.infoRateLimited("crash-records", {
            outcome: kind,
            stored: change.stored.map(({ fingerprint }) => fingerprint).join(","),
            removed: change.removed.join(","),
        });
    }
}
