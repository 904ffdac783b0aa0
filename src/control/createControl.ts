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
import { MetricsTask } from "../metrics/MetricsTask";
import { canaryAnalysis } from "../moves/canaryAnalysis";
import { RolloutTask } from "../moves/RolloutTask";
import { openPeerProcess } from "../process/openPeerProcess";
import { addressOf } from "../transport/addressOf";
import { SocketAddress } from "../transport/SocketAddress";
import { AdminServer } from "./AdminServer";
import { AdminService } from "./AdminService";
import { ControlSettings } from "./ControlSettings";
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
    // A replica that joins waits for the group to tell it the membership.
    return join ? { voters: [], learners: [] } : { voters, learners: [] };
};

/** Wires a control replica and starts it. `onFatal` is called when its disk can't be trusted any more. */
export const createControl = async (
    settings: ControlSettings,
    onFatal: (error: Error) => void,
): Promise<Control> => {
    const { clock, log, network, random, resources } = openPeerProcess({
        ...settings,
        name: settings.id,
        identity: settings.id,
    });

    const isLeader = (): boolean => consensus.status().role === Role.Leader;
    const leaderLink = resources.add(new LeaderReportTask(network, () => reports.resendAll()));
    const reports: ReportTask = resources.add(
        new ReportTask((services, evidence) => {
            if (isLeader()) {
                moves.observe(evidence);
                return true;
            }
            return leaderLink.send(services, evidence);
        }),
    );
    const parent = resources.add(
        new ParentTask({ network, clock, random, reports, onServicesChanged: () => undefined }),
    );

    const publish = ({ contents, records, revision }: CatalogueState): void => {
        const stored = [...records.values()].map((record) => [record.service, toServiceResource(record)] as const);
        parent.publish({ sourceRevision: revision, resources: new Map(stored), contents });
    };
    const stateMachine = new CatalogueStateMachine((state, command) => {
        publish(state);
        if (command) {
            logCommand(log, state, command);
        }
    });

    const onChange = (status: ConsensusStatus): void => {
        const { learners, voters } = status.membership;
        const leader = [...voters, ...learners].find(({ id }) => id === status.leaderId);
        leaderLink.follow(leader && leader.id !== settings.id ? leader.address : undefined);
        moves.setLeading(status.role === Role.Leader);
        const key = `${status.role}/${status.term}/${status.leaderId}`;
        if (key !== lastRole) {
            lastRole = key;
            log.info("role-changed", { role: status.role, term: status.term, leader: status.leaderId });
        }
    };
    let lastRole = "";
    const transport = new PeerReplicaTransport(
        settings.id,
        network,
        (from, message) => consensus.receive(from, message),
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
            onFailure: (error) => {
                log.error("disk-failed", { reason: error.message });
                onFatal(error);
            },
        }),
    );
    const propose = (command: CatalogueCommand) => consensus.propose(command);
    const moves = resources.add(
        new RolloutTask({
            clock,
            catalogue: () => stateMachine.state,
            reports: () => reportAggregation.totals(reports.current).values(),
            propose,
        }),
    );
    const statusOf = (record: EntryRecord) => {
        const judge = moves.analysisOf(record.service);
        const judged = judge && canaryAnalysis.candidateRequests(judge);
        return describeStatus(record, moves.coverageOf(record.service), judged, clock.wallMs());
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
    const admin = resources.add(new AdminServer((request) => service.answer(request)));
    resources.add(
        new MetricsTask(settings.statsd, settings.id, () => ({
            "control.children": parent.childCount,
            "control.commit_index": consensus.status().commitIndex,
            "control.sent_bytes": network.traffic.sentBytes,
        })),
    );

    await consensus.start();
    const peerAddress = await network.listen(addressOf(settings.peerAddress));
    const adminAddress = await admin.listen(addressOf(settings.adminAddress));
    log.info("control-started", {
        peerAddress: `${peerAddress.host}:${peerAddress.port}`,
        adminAddress: `${adminAddress.host}:${adminAddress.port}`,
    });
    return { peerAddress, adminAddress, dispose: () => resources.dispose() };
};
