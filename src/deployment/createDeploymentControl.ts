import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { ConsensusTask } from "../consensus/ConsensusTask";
import { FileReplicaStore } from "../consensus/FileReplicaStore";
import { Membership } from "../consensus/Membership";
import { Role } from "../consensus/Role";
import { PeerReplicaTransport } from "../control/PeerReplicaTransport";
import { Disposable } from "../core/Disposable";
import { EventLog } from "../core/EventLog";
import { membershipChanges } from "../membership/membershipChanges";
import { MembershipTask } from "../membership/MembershipTask";
import { MemberStatus } from "../membership/MemberStatus";
import { openPeerProcess } from "../process/openPeerProcess";
import { unrepeatedSeed } from "../process/unrepeatedSeed";
import { addressOf } from "../transport/addressOf";
import { ConfigurationPublisher } from "./ConfigurationPublisher";
import { controlAddresses } from "./controlAddresses";
import { ControlMetrics } from "./ControlMetrics";
import { ControlReadings } from "./ControlReadings";
import { DeploymentAdministration } from "./DeploymentAdministration";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentControlSettings } from "./DeploymentControlSettings";
import { DeploymentStateMachine } from "./DeploymentStateMachine";
import { GroupTask } from "./GroupTask";
import { readReplicaIdentity } from "./readReplicaIdentity";
import { ServiceMoveState } from "./ServiceMoveState";
import { ServiceMoveTask } from "./ServiceMoveTask";

/** A running control replica of a deployment. */
type DeploymentControl = Disposable & {
    readonly administration: DeploymentAdministration;
    readonly log: EventLog;
    readonly readings: () => ControlReadings;
    readonly followSeeds: (seeds: readonly string[]) => void;
    readonly stop: () => Promise<void>;
};

/** The log is compacted after this many entries: a snapshot is as large as a few of them. */
const SNAPSHOT_EVERY_ENTRIES = 64;

/** Parts of the election time-out: a follower misses several heartbeats before it stands for election. */
const HEARTBEATS_PER_ELECTION = 5;

/** A replica that joined later learns the membership from the group. */
const firstMembership = (founders: readonly string[]): Membership => ({
    voters: founders.map((address) => ({ id: address, address })),
    learners: [],
});

/**
 * Wires a control replica of a deployment and starts it.
 * @param output where its log lines go
 * @param metrics that its work is counted in
 * @param onDiskFailure is called when the disk refused a write: the replica must be stopped, and started anew from
 * what the disk holds
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
    const { clock, log, network, random, resources } = openPeerProcess({
        name: settings.id,
        identity: replicaId,
        secret,
        peerAddress,
        seed: unrepeatedSeed(replicaId),
        output,
    });

    const publisher = new ConfigurationPublisher(network, (evidence) => moves.observe(evidence));
    const stateMachine = new DeploymentStateMachine((state) => {
        publisher.publish(state);
        const { configuration, revision } = state;
        log.info("deployment-changed", { revision, configurationVersion: configuration?.version });
    });

    let lastRole = "";
    const onChange = ({ leaderId, role, term }: ConsensusStatus): void => {
        moves.lead(role === Role.Leader);
        const key = `${role}/${term}/${leaderId}`;
        if (key !== lastRole) {
            lastRole = key;
            log.info("role-changed", { role, term, leader: leaderId });
        }
    };
    const transport = new PeerReplicaTransport(
        replicaId,
        network,
        (from, message) => consensus.receive(from, message),
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
            snapshotEveryEntries: SNAPSHOT_EVERY_ENTRIES,
            onChange,
            onFailure: (error) => {
                log.error("disk-failed", { reason: error.message });
                onDiskFailure(error);
            },
        }),
    );
    const propose = (command: DeploymentCommand) => consensus.propose(command);
    const moves: ServiceMoveTask = resources.add(
        new ServiceMoveTask({ clock, log, state: () => stateMachine.state, propose }),
    );
    const group = resources.add(
        new GroupTask({
            own: { id: replicaId, address: peerAddress },
            network,
            log,
            status: () => consensus.status(),
            changeMembership: (change) => consensus.changeMembership(change),
        }),
    );
    await consensus.start();
    await network.listen(addressOf(peerAddress));
    const membership = resources.add(
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
            seeds: seeds.map(addressOf),
            clock,
            log,
            ownFloor: () => stateMachine.state.revision,
            onChange: (state) => group.follow(controlAddresses(state, seeds)),
            onFloor: () => undefined,
        }),
    );
    group.follow(controlAddresses(membership.present, seeds));
    log.info("control-started", { zone, peerAddress, replicaId, founders: founders.length, seeds: seeds.join(",") });

    const administration = new DeploymentAdministration({
        clock,
        log,
        state: () => stateMachine.state,
        status: () => consensus.status(),
        propose,
        readBarrier: () => consensus.readBarrier(),
        onOrder: (order, outcome, elapsedMs) => metrics.countOrder(order, outcome, elapsedMs),
    });
    const readings = (): ControlReadings => {
        const { appliedIndex, commitIndex, membership: replicas, role, term } = consensus.status();
        const { configuration, moves: moved } = stateMachine.state;
        return {
            isLeader: role === Role.Leader,
            term,
            commitIndex,
            appliedIndex,
            voters: replicas.voters.length,
            learners: replicas.learners.length,
            members: membershipChanges.present(membership.present).length,
            configurationVersion: configuration?.version ?? 0,
            runningMoves: [...moved.values()].filter(({ state }) => state === ServiceMoveState.Running).length,
        };
    };
    const stop = async (): Promise<void> => {
        log.info("control-stopped", { members: membershipChanges.present(membership.present).length });
        membership.leave();
        await resources.dispose();
    };
    const followSeeds = (next: readonly string[]): void => {
        seeds = next;
        membership.followSeeds(next.map(addressOf));
        group.follow(controlAddresses(membership.present, next));
    };
    return { administration, log, readings, followSeeds, stop, dispose: () => resources.dispose() };
};
