import { configurationDeltas } from "../configuration/configurationDeltas";
import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { ProposalOutcome } from "../consensus/ProposalOutcome";
import { Role } from "../consensus/Role";
import { Clock } from "../core/Clock";
import { EventLog } from "../core/EventLog";
import { AdministrationResult } from "./AdministrationResult";
import { DeploymentAnswer } from "./DeploymentAnswer";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";
import { ServiceMove } from "./ServiceMove";

/** What operators' requests are carried out with. */
type AdministrationOptions = {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly state: () => DeploymentState;
    readonly status: () => ConsensusStatus;
    readonly propose: (command: DeploymentCommand) => Promise<ProposalOutcome>;
    readonly readBarrier: () => Promise<ProposalOutcome>;
    /** Called with each request of an operator and how it ended. */
    readonly onOrder: (order: string, outcome: string, elapsedMs: number) => void;
};

/** Carries out operators' requests. Only the leader does; the others name it. */
export class DeploymentAdministration {
    public constructor(private readonly options: AdministrationOptions) {}

    /** Accepts a configuration whole, or not at all. */
    public async putConfiguration(
        baseVersion: number,
        configuration: MeshConfiguration,
    ): Promise<AdministrationResult<number>> {
        const present = this.options.state().configuration;
        const base = present?.version === baseVersion ? present : undefined;
        const delta = configurationDeltas.between(base, configuration);
        const result = await this.timed(
            "put-configuration",
            () => this.carryOut({ kind: "put-configuration", baseVersion, delta }),
        );
        const currentVersion = this.options.state().configuration?.version ?? 0;
        this.options.log.info("configuration-put", {
            version: configuration.version,
            baseVersion,
            currentVersion,
            outcome: result.kind,
            reason: this.reasonOf(result),
        });
        return result;
    }

    public async startMove(
        service: string,
        targetVersion: string,
        durationMs: number,
    ): Promise<AdministrationResult<number>> {
        const atMs = this.options.clock.wallMs();
        const result = await this.timed(
            "start-move",
            () => this.carryOut({ kind: "start-move", service, targetVersion, durationMs, atMs }),
        );
        this.options.log.info("move-ordered", {
            service,
            targetVersion,
            durationMs,
            outcome: result.kind,
            reason: this.reasonOf(result),
        });
        return result;
    }

    /** The newest configuration, confirmed by a quorum. */
    public readConfiguration(): Promise<AdministrationResult<MeshConfiguration>> {
        return this.timed<MeshConfiguration>("read-configuration", async () => {
            const failure = await this.confirm();
            const { configuration } = this.options.state();
            return failure ?? (configuration ? { kind: "done", value: configuration } : { kind: "not-found" });
        });
    }

    public readMove(service: string): Promise<AdministrationResult<ServiceMove>> {
        return this.timed<ServiceMove>("read-move", async () => {
            const failure = await this.confirm();
            const move = this.options.state().moves.get(service);
            return failure ?? (move ? { kind: "done", value: move } : { kind: "not-found" });
        });
    }

    private async timed<Value>(
        order: string,
        carryOut: () => Promise<AdministrationResult<Value>>,
    ): Promise<AdministrationResult<Value>> {
        const { clock, onOrder } = this.options;
        const startedMs = clock.monotonicMs();
        const result = await carryOut();
        onOrder(order, result.kind, clock.monotonicMs() - startedMs);
        return result;
    }

    private reasonOf(result: AdministrationResult<unknown>): string | undefined {
        if (result.kind === "invalid") {
            return result.fault;
        }
        return result.kind === "unknown" ? result.reason : undefined;
    }

    private notLeader(): AdministrationResult<never> {
        const { leaderId, membership } = this.options.status();
        const leader = [...membership.voters, ...membership.learners].find(({ id }) => id === leaderId);
        return { kind: "not-leader", leaderAddress: leader?.address };
    }

    private async confirm(): Promise<AdministrationResult<never> | undefined> {
        if (this.options.status().role !== Role.Leader) {
            return this.notLeader();
        }
        const outcome = await this.options.readBarrier();
        return outcome.kind === "applied" ? undefined : this.failureOf(outcome);
    }

    private failureOf(outcome: Exclude<ProposalOutcome, { readonly kind: "applied"; }>): AdministrationResult<never> {
        return outcome.kind === "refused" ? this.notLeader() : { kind: "unknown", reason: outcome.reason };
    }

    private async carryOut(command: DeploymentCommand): Promise<AdministrationResult<number>> {
        if (this.options.status().role !== Role.Leader) {
            return this.notLeader();
        }
        const outcome = await this.options.propose(command);
        if (outcome.kind !== "applied") {
            return this.failureOf(outcome);
        }
        const answer = outcome.answer as DeploymentAnswer;
        switch (answer.kind) {
            case "accepted":
                return { kind: "done", value: answer.revision };
            case "conflict":
                return { kind: "conflict", currentVersion: answer.currentVersion };
            case "invalid":
                return { kind: "invalid", fault: answer.fault };
            case "stale":
                return { kind: "not-found" };
        }
    }
}
