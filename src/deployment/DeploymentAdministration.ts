import { configurationDeltas } from "../configuration/configurationDeltas";
import { MeshConfiguration } from "../configuration/MeshConfiguration";
import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { ProposalOutcome } from "../consensus/ProposalOutcome";
import { Role } from "../consensus/Role";
import { Clock } from "../core/Clock";
import { EventLog } from "../core/EventLog";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { acceptedOrders } from "./acceptedOrders";
import { AdministrationResult } from "./AdministrationResult";
import { DeploymentAnswer } from "./DeploymentAnswer";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";
import { OrderReference } from "./OrderReference";
import { RepeatedOrders } from "./RepeatedOrders";
import { RolloutAssessment } from "./RolloutAssessment";
import { ServiceRollout } from "./ServiceRollout";

/** Dependencies and callbacks of a `DeploymentAdministration`. */
type AdministrationOptions = {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly state: () => DeploymentState;
    readonly status: () => ConsensusStatus;
    /** The availability zones of the mesh; empty if they are not known. */
    readonly zones: readonly string[];
    readonly propose: (command: DeploymentCommand) => Promise<ProposalOutcome>;
    readonly assessRollout: (service: string, targetVersion: string) => RolloutAssessment;
    readonly repeatedOrders: Pick<RepeatedOrders, "forgottenNumber">;
    readonly crashEvidence: Pick<CrashEvidenceTask, "lift" | "list">;
    /** Confirms leadership with a quorum and waits until all committed entries are applied. */
    readonly readBarrier: () => Promise<ProposalOutcome>;
    /** Called at the end of each operator request with its operation, the kind of its result and its duration. */
    readonly onOperatorRequest: (operation: string, outcome: string, elapsedMs: number) => void;
};

/** Executes operator requests. Only the leader executes them; other replicas return its address. */
export class DeploymentAdministration {
    public constructor(private readonly options: AdministrationOptions) {}

    /**
     * Proposes a configuration that replaces version `baseVersion`. It is accepted as a whole or not at all. Returns
     * the revision of the deployment.
     */
    public async putConfiguration(
        baseVersion: number,
        configuration: MeshConfiguration,
    ): Promise<AdministrationResult<number>> {
        const current = this.options.state().configuration;
        const base = current?.version === baseVersion ? current : undefined;
        const delta = configurationDeltas.between(base, configuration);
        const result = await this.measure(
            "put-configuration",
            () => this.proposeAsLeader({ kind: "put-configuration", baseVersion, delta }),
        );
        const currentVersion = this.options.state().configuration?.version ?? 0;
        this.options.log.info("configuration-put", {
            version: configuration.version,
            baseVersion,
            currentVersion,
            outcome: result.kind,
            reason: this.failureReason(result),
        });
        return result;
    }

    /**
     * Proposes a rollout of a service to its backend servers of version `targetVersion`. The rollout must end within
     * `durationMs`. Returns the revision of the deployment.
     * @param key identifies the order, so that another one with the same words is not taken for a repetition
     */
    public async startRollout(
        service: string,
        targetVersion: string,
        durationMs: number,
        key?: string,
    ): Promise<AdministrationResult<number>> {
        const assessment = this.options.assessRollout(service, targetVersion);
        const words = { kind: "start-move", service, targetVersion, durationMs } as const;
        const order = this.referTo(words, key);
        const { atMs } = order;
        const result = await this.measure(
            "start-move",
            () => this.proposeAsLeader({ ...words, ...assessment, atMs, order }),
        );
        this.options.log.info("move-ordered", {
            service,
            targetVersion,
            durationMs,
            ...assessment,
            outcome: result.kind,
            reason: this.failureReason(result),
        });
        return result;
    }

    /** Returns the newest configuration; a quorum confirms that no newer one was committed. */
    public readConfiguration(): Promise<AdministrationResult<MeshConfiguration>> {
        return this.measure<MeshConfiguration>("read-configuration", async () => {
            const failure = await this.confirmLeadership();
            const { configuration } = this.options.state();
            return failure ?? (configuration ? { kind: "done", value: configuration } : { kind: "not-found" });
        });
    }

    /** Returns the last rollout of a service, likewise confirmed by a quorum. */
    public readRollout(service: string): Promise<AdministrationResult<ServiceRollout>> {
        return this.measure<ServiceRollout>("read-move", async () => {
            const failure = await this.confirmLeadership();
            const rollout = this.options.state().moves.get(service);
            return failure ?? (rollout ? { kind: "done", value: rollout } : { kind: "not-found" });
        });
    }

    /**
     * Proposes that the backend servers of a zone get no more requests, or that they get them again. Returns the
     * revision of the deployment. A zone that is evacuated can be put back even if the settings no longer name it.
     * @param key see `startRollout`
     */
    public async setEvacuation(
        zone: string,
        evacuated: boolean,
        key?: string,
    ): Promise<AdministrationResult<number>> {
        const { log, state, zones } = this.options;
        const kind = evacuated ? "start-evacuation" : "stop-evacuation";
        const isKnown = zones.length === 0 ? zone !== "" : zones.includes(zone) || state().evacuatedZones.has(zone);
        const result = await this.measure<number>(
            kind,
            () =>
                isKnown
                    ? this.proposeAsLeader({ kind, zone, order: this.referTo({ kind, zone }, key) })
                    : Promise.resolve({ kind: "invalid", fault: `there is no zone "${zone}"` }),
        );
        log.info("evacuation-ordered", { zone, evacuated, outcome: result.kind, reason: this.failureReason(result) });
        return result;
    }

    /** Returns the evacuated zones, likewise confirmed by a quorum. */
    public listEvacuations(): Promise<AdministrationResult<readonly string[]>> {
        return this.measure<readonly string[]>("list-evacuations", async () => {
            const failure = await this.confirmLeadership();
            return failure ?? { kind: "done", value: [...this.options.state().evacuatedZones].sort() };
        });
    }

    /** Returns the requests under which backend servers crashed, as far as this replica knows. Any replica answers. */
    public listRefusals(): ReturnType<CrashEvidenceTask["list"]> {
        return this.options.crashEvidence.list();
    }

    /**
     * Lifts the refusal of a request at all members that this replica is connected with. Any replica does it, so that it
     * works without a leader. Returns false if no crash counts against the request.
     */
    public liftRefusal(fingerprint: string): boolean {
        const isLifted = this.options.crashEvidence.lift(fingerprint);
        this.options.log.info("refusal-lifted", { fingerprint, isLifted });
        return isLifted;
    }

    private async measure<Value>(
        operation: string,
        execute: () => Promise<AdministrationResult<Value>>,
    ): Promise<AdministrationResult<Value>> {
        const { clock, onOperatorRequest } = this.options;
        const startedMs = clock.monotonicMs();
        const result = await execute();
        onOperatorRequest(operation, result.kind, clock.monotonicMs() - startedMs);
        return result;
    }

    private referTo(words: Parameters<typeof acceptedOrders.identityOf>[0], key: string | undefined): OrderReference {
        const { clock, repeatedOrders, state } = this.options;
        const atMs = clock.wallMs();
        if (key !== undefined) {
            // Only the same order has this key, however late it arrives again.
            return { atMs, forgottenNumber: 0, key };
        }
        const identity = acceptedOrders.identityOf(words, key);
        return { atMs, forgottenNumber: repeatedOrders.forgottenNumber(state().acceptedOrders, identity) };
    }

    private failureReason(result: AdministrationResult<unknown>): string | undefined {
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

    /** Returns undefined once a quorum has confirmed that this replica leads. */
    private async confirmLeadership(): Promise<AdministrationResult<never> | undefined> {
        if (this.options.status().role !== Role.Leader) {
            return this.notLeader();
        }
        const outcome = await this.options.readBarrier();
        return outcome.kind === "applied" ? undefined : this.toFailure(outcome);
    }

    private toFailure(outcome: Exclude<ProposalOutcome, { readonly kind: "applied"; }>): AdministrationResult<never> {
        return outcome.kind === "refused" ? this.notLeader() : { kind: "unknown", reason: outcome.reason };
    }

    private async proposeAsLeader(command: DeploymentCommand): Promise<AdministrationResult<number>> {
        if (this.options.status().role !== Role.Leader) {
            return this.notLeader();
        }
        const outcome = await this.options.propose(command);
        if (outcome.kind !== "applied") {
            return this.toFailure(outcome);
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
