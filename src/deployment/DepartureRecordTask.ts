import { ProposalOutcome } from "../consensus/ProposalOutcome";
import { Clock } from "../core/Clock";
import { EventLog } from "../core/EventLog";
import { ControlDepartureMessage } from "../departures/ControlDepartureMessage";
import { departureRecords } from "../departures/departureRecords";
import { DepartureReport } from "../departures/DepartureReport";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";
import { LeadershipConfirmation } from "./LeadershipConfirmation";

/** Dependencies of a `DepartureRecordTask`. */
type DepartureRecordOptions = {
    readonly clock: Clock;
    readonly log: Pick<EventLog, "infoRateLimited">;
    readonly state: () => DeploymentState;
    readonly isLeading: () => boolean;
    readonly confirmation: LeadershipConfirmation;
    readonly propose: (command: DeploymentCommand) => Promise<ProposalOutcome>;
};

type Reply = (answer: ControlDepartureMessage) => void;

/**
 * Keeps the departures of backend servers in the replicated log, so that they outlast the end of all processes, and
 * tells a node that has restarted those from its host.
 */
export class DepartureRecordTask {
    public constructor(private readonly options: DepartureRecordOptions) {}

    /** Handles a message of a node. */
    public async receive(nodeId: string, message: ControlDepartureMessage, reply: Reply): Promise<void> {
        switch (message.kind) {
            case "record-departure":
                await this.record(nodeId, message.number, message.departure, reply);
                return;
            case "recall-departures":
                await this.recall(nodeId, reply);
                return;
        }
    }

    private async record(nodeId: string, number: number, report: DepartureReport, reply: Reply): Promise<void> {
        const { clock, isLeading, log, propose } = this.options;
        if (!isLeading()) {
            return;
        }
        const atMs = clock.wallMs();
        const departure = departureRecords.toStored(report, atMs);
        const { kind } = await propose({ kind: "record-departure", nodeId, departure, atMs });
        log.infoRateLimited("departure-recorded", { node: nodeId, instance: report.instanceId, outcome: kind });
        if (kind === "applied") {
            reply({ kind: "departure-recorded", number });
        }
    }

    private async recall(nodeId: string, reply: Reply): Promise<void> {
        const { confirmation, isLeading } = this.options;
        // What a replica holds was committed, whether or not it leads: the node can use it while there is no leader.
        this.answer(nodeId, false, reply);
        if (isLeading() && (await confirmation.confirm())) {
            this.answer(nodeId, true, reply);
        }
    }

    private answer(nodeId: string, isComplete: boolean, reply: Reply): void {
        const departures = departureRecords.reportsOf(
            this.options.state().departures,
            nodeId,
            this.options.clock.wallMs(),
        );
        reply({ kind: "departures", departures, isComplete });
    }
}
