import { QuotaGrantTask } from "../accounts/QuotaGrantTask";
import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { ConsensusTask } from "../consensus/ConsensusTask";
import { FileReplicaStore } from "../consensus/FileReplicaStore";
import { Membership } from "../consensus/Membership";
import { Role } from "../consensus/Role";
import { createRoleLogger } from "../control/createRoleLogger";
import { PeerReplicaTransport } from "../control/PeerReplicaTransport";
import { Disposable } from "../core/Disposable";
import { EventLog } from "../core/EventLog";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { DepartureStore } from "../departures/DepartureStore";
import { MemberRecord } from "../membership/MemberRecord";
import { membershipOperations } from "../membership/membershipOperations";
import { MembershipTask } from "../membership/MembershipTask";
import { MemberStatus } from "../membership/MemberStatus";
import { versionsIn } from "../membership/versionsIn";
import { createProcessContext } from "../process/createProcessContext";
import { uniqueSeed } from "../process/uniqueSeed";
import { parseAddressOrDefault } from "../transport/parseAddressOrDefault";
import { ConfigurationPublisher } from "./ConfigurationPublisher";
import { controlAddresses } from "./controlAddresses";
import { ControlMetrics } from "./ControlMetrics";
import { ControlReadings } from "./ControlReadings";
import { CrashRecordTask } from "./CrashRecordTask";
import { DepartureRecordTask } from "./DepartureRecordTask";
import { DeploymentAdministration } from "./DeploymentAdministration";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentControlSettings } from "./DeploymentControlSettings";
import { DeploymentStateMachine } from "./DeploymentStateMachine";
import { GroupMembershipTask } from "./GroupMembershipTask";
import { LeadershipConfirmation } from "./LeadershipConfirmation";
import { LeaseGrantor } from "./LeaseGrantor";
import { readReplicaIdentity } from "./readReplicaIdentity";
import { RepeatedOrders } from "./RepeatedOrders";
import { ServiceRolloutState } from "./ServiceRolloutState";
import { ServiceRolloutTask } from "./ServiceRolloutTask";

/** A running control replica of a deployment. */
type DeploymentControl = Disposable & {
    readonly administration: DeploymentAdministration;
    readonly log: EventLog;
    /** The current gauge values. */
    readonly readings: () => ControlReadings;
    /** Replaces the peer addresses of the seeds. */
    readonly setSeeds: (seeds: readonly string[]) => void;
    /** Announces to the mesh that this process leaves, then releases its resources. */
    readonly stop: () => Promise<void>;
};

/** The log is compacted after this many entries. A snapshot is only as large as a few entries. */
const SNAPSHOT_INTERVAL_ENTRIES = 64;

/** Heartbeats per election timeout, so that a follower starts an election only after it missed several. */
const HEARTBEATS_PER_ELECTION = 5;

/** The founders are the first voters. A replica that joins later has none: the group tells it the membership. */
const firstMembership = (founders: readonly string[]): Membership => ({
    voters: founders.map((address) => ({ id: address, address })),
    learners: [],
});

/**
 * Creates and starts a control replica of a deployment.
 * @param output receives its log lines
 * @param metrics counts its operator requests and the bytes that it sends
 * @param onDiskFailure is called when a disk write failed; the replica must then be stopped and restarted from the disk
 */
export const createDeploymentControl = async (
    settings: DeploymentControlSettings,
    output: ConstructorParameters<typeof EventLog>[2],
    metrics: ControlMetrics,
    onDiskFailure: (error: Error) => void,
): Promise<DeploymentControl> => {
    const { dataFolder, electionTimeoutMs, isFirstStart, peerAddress, secret, zone } = settings;
    let { seeds } = settings;
    const identity = await readReplicaIdentity(dataFolder, peerAddress, isFirstStart ? seeds : []);
    const { founders, id: replicaId } = identity;
    const { clock, log, network, random, resources } = createProcessContext({
        name: settings.id,
        identity: replicaId,
        secret,
        peerAddress,
        seed: uniqueSeed(replicaId),
        output,
    });

    metrics.zoneTraffic.observe(network, zone);
    metrics.zoneTraffic.logPeriodically(log, resources);
    const confirmation = new LeadershipConfirmation(() => consensus.readBarrier());
    const leases = resources.add(
        new LeaseGrantor({
            clock,
            confirmation,
            isLeading: () => consensus.status().role === Role.Leader,
            version: () => stateMachine.state.configuration?.version ?? 0,
            onAnswered: (outcome, renewals) => metrics.countLeases(outcome, renewals),
        }),
    );
    const publisher = new ConfigurationPublisher(
        network,
        (statistics) => rolloutTask.addStatistics(statistics),
        leases,
        (request, reply) => quotaTask.receive(request, reply),
        (nodeId, message, reply) => departureRecordTask.receive(nodeId, message, reply),
    );
    // A state that no leader has confirmed since the start may be older than one that nodes had before.
    const publishIfConfirmed = (): void => {
        if (consensus.status().isConfirmed) {
            publisher.publish(stateMachine.state);
        }
    };
    const repeatedOrders = new RepeatedOrders({
        clock,
        windowMs: settings.orderRepetitionMs,
        maximumSkewMs: settings.maximumSkewMs,
    });
    const stateMachine = new DeploymentStateMachine((state, command) => {
        repeatedOrders.observe(state.acceptedOrders, !consensus.status().isConfirmed);
        if (command?.kind === "record-crashes" || command?.kind === "record-departure") {
            return;
        }
        publishIfConfirmed();
        const { configuration, revision } = state;
        log.info("deployment-changed", { revision, configurationVersion: configuration?.version });
    });

    const logRole = createRoleLogger(log);
    let wasConfirmed = false;
    const onChange = (status: ConsensusStatus): void => {
        rolloutTask.setLeading(status.role === Role.Leader);
        quotaTask.updateStatus(status);
        publisher.setLeaderTerm(status.role === Role.Leader ? status.term : undefined);
        logRole(status);
        if (status.isConfirmed && !wasConfirmed) {
            wasConfirmed = true;
            publishIfConfirmed();
            const { configuration, revision } = stateMachine.state;
            log.info("state-confirmed", { revision, configurationVersion: configuration?.version, term: status.term });
        }
    };
    const transport = new PeerReplicaTransport(
        replicaId,
        network,
        (from, message) => consensus.receive(from, message),
        (member, peer) => log.warn("unexpected-peer", { member, peer }),
    );
    const consensus: ConsensusTask = resources.add(
        new ConsensusTask({
            id: replicaId,
            firstMembership: firstMembership(founders),
            store: new FileReplicaStore(dataFolder),
            transport,
            stateMachine,
            timings: {
                electionTimeoutMs,
                firstElectionTimeoutMs: electionTimeoutMs / HEARTBEATS_PER_ELECTION,
                heartbeatIntervalMs: electionTimeoutMs / HEARTBEATS_PER_ELECTION,
                quorumCheckMs: electionTimeoutMs,
            },
            random,
            snapshotEveryEntries: SNAPSHOT_INTERVAL_ENTRIES,
            onChange,
            onQuorumLost: (responded) => log.warn("quorum-lost", { responded: responded.join(",") }),
            onStateDiffers: (appliedIndex) => {
                metrics.countStateReplacement();
                const { configuration, revision } = stateMachine.state;
                log.error("state-differs", { appliedIndex, revision, configurationVersion: configuration?.version });
            },
            onFailure: (error) => {
                log.error("disk-failed", { reason: error.message });
                onDiskFailure(error);
            },
        }),
    );
    // The membership task starts after the consensus task, which may elect this replica at once.
    let presentMembers: () => readonly MemberRecord[] = () => [];
    const propose = (command: DeploymentCommand) => consensus.propose(command);
    const departureRecordTask = new DepartureRecordTask({
        clock,
        log,
        state: () => stateMachine.state,
        isLeading: () => consensus.status().role === Role.Leader,
        confirmation,
        propose,
    });
    const rolloutTask: ServiceRolloutTask = resources.add(
        new ServiceRolloutTask({
            clock,
            log,
            state: () => stateMachine.state,
            members: () => presentMembers(),
            propose,
        }),
    );
    const quotaTask: QuotaGrantTask = resources.add(
        new QuotaGrantTask({
            id: replicaId,
            clock,
            log,
            settings,
            status: () => consensus.status(),
            configuration: () => stateMachine.state.configuration,
            confirmation,
        }),
    );
    const groupTask = resources.add(
        new GroupMembershipTask({
            own: { id: replicaId, address: peerAddress },
            network,
            log,
            status: () => consensus.status(),
            changeMembership: (change) => consensus.changeMembership(change),
        }),
    );
    try {
        await consensus.start();
        await network.listen(parseAddressOrDefault(peerAddress));
    }
    catch (error) {
        // Otherwise this replica would go on writing to the files that the next one opens.
        await resources.dispose();
        throw error;
    }
    const crashEvidence = resources.add(
        new CrashEvidenceTask({
            clock,
            log,
            versionsInService: (service) => versionsIn(presentMembers(), service),
            spread: (reports) => membership.spread(reports),
        }),
    );
    const membership: MembershipTask = resources.add(
        new MembershipTask({
            own: {
                id: settings.id,
                zone,
                incarnation: clock.wallMs(),
                sequence: 1,
                status: MemberStatus.Alive,
                peerAddress,
                inboundAddress: "",
                isControl: true,
                endpoints: [],
            },
            network,
            seeds: seeds.map(parseAddressOrDefault),
            clock,
            log,
            reachedRevision: () => stateMachine.state.revision,
            onChange: (state) => {
                metrics.zoneTraffic.updateMembers(membershipOperations.presentMembers(state));
                groupTask.setControlAddresses(controlAddresses(state, seeds));
            },
            onRememberedRevision: () => undefined,
            gossiped: crashEvidence,
            exchange: new DepartureStore(clock),
        }),
    );
    resources.add(
        new CrashRecordTask({
            clock,
            log,
            evidence: crashEvidence,
            state: () => stateMachine.state,
            isLeading: () => consensus.status().role === Role.Leader,
            propose,
        }),
    );
    presentMembers = () => membershipOperations.presentMembers(membership.current);
    groupTask.setControlAddresses(controlAddresses(membership.current, seeds));
    log.info("control-started", { zone, peerAddress, replicaId, founders: founders.length, seeds: seeds.join(",") });

    const administration = new DeploymentAdministration({
        clock,
        log,
        state: () => stateMachine.state,
        status: () => consensus.status(),
        zones: settings.zones,
        propose,
        repeatedOrders,
        assessRollout: (service, targetVersion) => rolloutTask.assess(service, targetVersion),
        crashEvidence,
        readBarrier: () => consensus.readBarrier(),
        onOperatorRequest: (operation, outcome, elapsedMs) =>
            metrics.countOperatorRequest(operation, outcome, elapsedMs),
    });
    const readings = (): ControlReadings => {
        const { appliedIndex, commitIndex, isConfirmed, membership: groupMembership, role, term, unresponsiveIds } =
            consensus.status();
        const { configuration, evacuatedZones, moves: serviceRollouts } = stateMachine.state;
        return {
            isLeader: role === Role.Leader,
            term,
            commitIndex,
            appliedIndex,
            voters: groupMembership.voters.length,
            learners: groupMembership.learners.length,
            unresponsiveMembers: unresponsiveIds.length,
            isStateConfirmed: isConfirmed,
            ...quotaTask.readings,
            members: membershipOperations.presentMembers(membership.current).length,
            configurationVersion: configuration?.version ?? 0,
            evacuatedZones: evacuatedZones.size,
            refusedRequests: crashEvidence.refusedCount,
            runningRollouts:
                [...serviceRollouts.values()].filter(({ state }) => state === ServiceRolloutState.Running).length,
        };
    };
    const stop = async (): Promise<void> => {
        log.info("control-stopped", { members: membershipOperations.presentMembers(membership.current).length });
        membership.leave();
        await resources.dispose();
    };
    const setSeeds = (next: readonly string[]): void => {
        seeds = next;
        membership.setSeeds(next.map(parseAddressOrDefault));
        groupTask.setControlAddresses(controlAddresses(membership.current, next));
    };
    return { administration, log, readings, setSeeds, stop, dispose: () => resources.dispose() };
};
