import { CatalogueCommand } from "../catalogue/CatalogueCommand";
import { CatalogueState } from "../catalogue/CatalogueState";
import { CatalogueStateMachine } from "../catalogue/CatalogueStateMachine";
import { EntryRecord } from "../catalogue/EntryRecord";
import { ConsensusStatus } from "../consensus/ConsensusStatus";
import { ConsensusTask } from "../consensus/ConsensusTask";
import { FileReplicaStore } from "../consensus/FileReplicaStore";
import { Membership } from "../consensus/Membership";
import { Role } from "../consensus/Role";
import { Disposable } from "../core/Disposable";
import { ParentTask } from "../distribution/ParentTask";
import { reportAggregation } from "../distribution/reportAggregation";
import { ReportTask } from "../distribution/ReportTask";
import { toServiceResource } from "../distribution/toServiceResource";
import { StatsdTask } from "../metrics/StatsdTask";
import { canaryAnalysis } from "../moves/canaryAnalysis";
import { RolloutTask } from "../moves/RolloutTask";
import { createProcessContext } from "../process/createProcessContext";
import { parseAddressOrDefault } from "../transport/parseAddressOrDefault";
import { SocketAddress } from "../transport/SocketAddress";
import { AdminServer } from "./AdminServer";
import { AdminService } from "./AdminService";
import { ControlSettings } from "./ControlSettings";
import { createRoleLogger } from "./createRoleLogger";
import { describeStatus } from "./describeStatus";
import { LeaderReportTask } from "./LeaderReportTask";
import { logCommand } from "./logCommand";
import { parseOperators } from "./parseOperators";
import { PeerReplicaTransport } from "./PeerReplicaTransport";

/** A running control replica. */
type Control = Disposable & {
    readonly peerAddress: SocketAddress;
    readonly adminAddress: SocketAddress;
};

const firstMembership = ({ join, replicas }: ControlSettings): Membership => {
    const voters = replicas.split(",").map((part) => {
        const [id, address] = part.split("=");
        return { id, address };
    });
    // A replica that joins a running group receives the membership from the leader.
    return join ? { voters: [], learners: [] } : { voters, learners: [] };
};

/** Creates and starts a control replica. `onFatal` is called when its storage has failed and it must stop. */
export const createControl = async (
    settings: ControlSettings,
    onFatal: (error: Error) => void,
): Promise<Control> => {
    const { clock, log, network, random, resources } = createProcessContext({
        ...settings,
        name: settings.id,
        identity: settings.id,
    });

    const isLeader = (): boolean => consensus.status().role === Role.Leader;
    const leaderReports = resources.add(new LeaderReportTask(network, () => reportTask.resendAll()));
    const reportTask: ReportTask = resources.add(
        new ReportTask((services, statistics) => {
            if (isLeader()) {
                rolloutTask.observe(statistics);
                return true;
            }
            return leaderReports.send(services, statistics);
        }),
    );
    const parent = resources.add(
        new ParentTask({ network, clock, random, reports: reportTask, onServicesChanged: () => undefined }),
    );

    const publish = ({ contents, records, revision }: CatalogueState): void => {
        const serviceResources = [...records.values()].map((record) =>
            [record.service, toServiceResource(record)] as const
        );
        parent.publish({ sourceRevision: revision, resources: new Map(serviceResources), contents });
    };
    // A state that no leader has confirmed since the start may be older than one that nodes had before.
    const publishIfConfirmed = (): void => {
        if (consensus.status().isConfirmed) {
            publish(stateMachine.state);
        }
    };
    const stateMachine = new CatalogueStateMachine((state, command) => {
        publishIfConfirmed();
        if (command) {
            logCommand(log, state, command);
        }
    });

    let wasConfirmed = false;
    const onChange = (status: ConsensusStatus): void => {
        const { learners, voters } = status.membership;
        const leader = [...voters, ...learners].find(({ id }) => id === status.leaderId);
        leaderReports.setLeaderAddress(leader && leader.id !== settings.id ? leader.address : undefined);
        rolloutTask.setLeading(status.role === Role.Leader);
        logRole(status);
        if (status.isConfirmed && !wasConfirmed) {
            wasConfirmed = true;
            publishIfConfirmed();
        }
    };
    const logRole = createRoleLogger(log);
    const transport = new PeerReplicaTransport(
        settings.id,
        network,
        (from, message) => consensus.receive(from, message),
        (member, peer) => log.warn("unexpected-peer", { member, peer }),
    );
    const { electionTimeoutMs } = settings;
    const consensus: ConsensusTask = resources.add(
        new ConsensusTask({
            id: settings.id,
            firstMembership: firstMembership(settings),
            store: new FileReplicaStore(settings.dataFolder),
            transport,
            stateMachine,
            timings: {
                electionTimeoutMs,
                heartbeatIntervalMs: electionTimeoutMs / 5,
                quorumCheckMs: electionTimeoutMs,
            },
            random,
            snapshotEveryEntries: settings.snapshotEvery,
            onChange,
            onQuorumLost: (responded) => log.warn("quorum-lost", { responded: responded.join(",") }),
            onFailure: (error) => {
                log.error("disk-failed", { reason: error.message });
                onFatal(error);
            },
        }),
    );
    const propose = (command: CatalogueCommand) => consensus.propose(command);
    const rolloutTask = resources.add(
        new RolloutTask({
            clock,
            catalogue: () => stateMachine.state,
            reports: () => reportAggregation.totals(reportTask.current).values(),
            propose,
        }),
    );
    const statusOf = (record: EntryRecord) => {
        const analysis = rolloutTask.analysisOf(record.service);
        const judgedRequests = analysis && canaryAnalysis.candidateRequests(analysis);
        return describeStatus(record, rolloutTask.coverageOf(record.service), judgedRequests, clock.wallMs());
    };
    const service = new AdminService({
        operators: parseOperators(settings.operators) ?? [],
        clock,
        catalogue: () => stateMachine.state,
        status: () => consensus.status(),
        statusOf,
        propose,
        readBarrier: () => consensus.readBarrier(),
        changeMembership: (change) => consensus.changeMembership(change),
    });
    const admin = resources.add(new AdminServer((request) => service.handle(request)));
    resources.add(
        new StatsdTask(settings.statsd, settings.id, () => ({
            "control.children": parent.childCount,
            "control.commit_index": consensus.status().commitIndex,
            "control.sent_bytes": network.traffic.sentBytes,
        })),
    );

    await consensus.start();
    const peerAddress = await network.listen(parseAddressOrDefault(settings.peerAddress));
    const adminAddress = await admin.listen(parseAddressOrDefault(settings.adminAddress));
    log.info("control-started", {
        peerAddress: `${peerAddress.host}:${peerAddress.port}`,
        adminAddress: `${adminAddress.host}:${adminAddress.port}`,
    });
    return { peerAddress, adminAddress, dispose: () => resources.dispose() };
};
