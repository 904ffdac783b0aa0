import { Disposable } from "../core/Disposable";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { hashFraction } from "../core/hashFraction";
import { memoizeLatest } from "../core/memoizeLatest";
import { pause } from "../core/pause";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { ChildTask } from "../distribution/ChildTask";
import { chooseParents } from "../distribution/chooseParents";
import { ParentTask } from "../distribution/ParentTask";
import { ReportTask } from "../distribution/ReportTask";
import { ResourceState } from "../distribution/ResourceState";
import { EndpointState } from "../membership/EndpointState";
import { membershipOperations } from "../membership/membershipOperations";
import { MembershipState } from "../membership/MembershipState";
import { MembershipTask } from "../membership/MembershipTask";
import { MemberStatus } from "../membership/MemberStatus";
import { versionsIn } from "../membership/versionsIn";
import { StatsdTask } from "../metrics/StatsdTask";
import { createProcessContext } from "../process/createProcessContext";
import { buildEndpointIndex } from "../proxy/buildEndpointIndex";
import { buildRoutingTable } from "../proxy/buildRoutingTable";
import { CallerServer } from "../proxy/CallerServer";
import { CallRunner } from "../proxy/CallRunner";
import { CandidateGuard } from "../proxy/CandidateGuard";
import { EndpointTarget } from "../proxy/EndpointTarget";
import { EndpointTracker } from "../proxy/EndpointTracker";
import { InboundCrashes } from "../proxy/InboundCrashes";
import { InboundServer } from "../proxy/InboundServer";
import { LocalBackend } from "../proxy/LocalBackend";
import { localBackends } from "../proxy/localBackends";
import { RoutingTable } from "../proxy/RoutingTable";
import { StatisticsRecorder } from "../proxy/StatisticsRecorder";
import { UpstreamClient } from "../proxy/UpstreamClient";
import { parseAddressOrDefault } from "../transport/parseAddressOrDefault";
import { SocketAddress } from "../transport/SocketAddress";
import { HostServer } from "./HostServer";
import { NodeSettings } from "./NodeSettings";
import { ReadinessGate } from "./ReadinessGate";
import { toServiceReports } from "./toServiceReports";

/** How often the request statistics of services with a candidate are analysed and reported. */
const STATISTICS_INTERVAL_MS = 250;
const BACKEND_EXPIRY_INTERVAL_MS = 500;

/** Time for the draining state of the backend servers to reach the other nodes. */
const DRAIN_PROPAGATION_MS = 1_500;
const IDLE_CHECK_INTERVAL_MS = 50;

/** Requests that are queued this long before the drain times out are refused: time for the refusals to be read. */
const REFUSAL_RESERVE_MS = 300;

/** Time for the message that this node leaves the membership to be sent before the connections close. */
const LEAVE_PROPAGATION_MS = 100;

/** A running node. */
type Node = Disposable & {
    readonly addresses: NodeAddresses;
    /**
     * Shuts down gracefully: announces the drain, stops accepting requests, waits at most `drainTimeoutMs` for the
     * requests in progress, then leaves the membership.
     */
    readonly stop: () => Promise<void>;
};

type NodeAddresses = {
    readonly peer: SocketAddress;
    readonly caller: SocketAddress;
    readonly inbound: SocketAddress;
    readonly host: SocketAddress;
};

const formatAddress = ({ host, port }: SocketAddress): string => `${host}:${port}`;
const splitList = (text: string): readonly string[] => text.split(",").filter(Boolean);

/** Assembles a node and starts it. `onDrain` is called when an operator requests that the node drains. */
export const createNode = async (settings: NodeSettings, onDrain: () => void): Promise<Node> => {
    const { clock, localHost, log, network, random, resources } = createProcessContext({
        ...settings,
        name: settings.id,
        identity: settings.id,
    });
    const upstream = resources.add(new UpstreamClient(localHost));

    let backends: ReadonlyMap<string, LocalBackend> = new Map();
    const crashEvidence: CrashEvidenceTask = resources.add(
        new CrashEvidenceTask({
            clock,
            log,
            versionsInService: (service) =>
                versionsIn(membershipOperations.presentMembers(membership.current), service),
            spread: (reports) => membership.spread(reports),
        }),
    );
    const turns = resources.add(new EventLoopTurns(clock));
    const inbound = resources.add(
        new InboundServer({
            clock,
            turns,
            upstream,
            backend: (key) => backends.get(key),
            crashes: new InboundCrashes({ nodeId: settings.id, clock, evidence: crashEvidence }),
        }),
    );
    const peerAddress = await network.listen(parseAddressOrDefault(settings.peerAddress));
    const inboundAddress = await inbound.listen(parseAddressOrDefault(settings.inboundAddress));

    // The routing table and the endpoint index are replaced as a whole, so a request that reads each once sees a
    // consistent state.
    let routingTable: RoutingTable = new Map();
    let endpoints: ReadonlyMap<string, readonly EndpointTarget[]> = new Map();
    const tracker = new EndpointTracker();
    const recorder = new StatisticsRecorder();
    const readinessGate = new ReadinessGate(clock.monotonicMs(), settings.seeds !== "");
    const ownServices = splitList(settings.services);

    const parentCandidates = memoizeLatest((state: MembershipState) =>
        chooseParents({
            ownId: settings.id,
            ownZone: settings.zone,
            members: membershipOperations.presentMembers(state),
            controls: splitList(settings.controls),
        })
    );

    const reportOwnServices = (state: ResourceState): void => {
        reports.reportOwn(toServiceReports(settings.zone, ownServices, state, guard), []);
    };
    const guard = new CandidateGuard(({ reason, service, version }) => {
        log.warn("candidate-suppressed", { service, version, reason });
        reportOwnServices(child.current);
    });
    const reports = resources.add(new ReportTask((services, statistics) => child.report(services, statistics)));
    const parent = resources.add(
        new ParentTask({
            network,
            clock,
            random,
            reports,
            onServicesChanged: (requestedServices) =>
                child.setServices(new Set([...ownServices, ...requestedServices])),
        }),
    );
    const child: ChildTask = resources.add(
        new ChildTask({
            zone: settings.zone,
            network,
            clock,
            log,
            parents: () => parentCandidates(membership.current),
            onChange: (state, changed) => {
                routingTable = buildRoutingTable(state);
                guard.syncCandidates(routingTable);
                readinessGate.advanceTo(state.sourceRevision);
                membership.sendHeartbeats();
                parent.publish(state);
                if (changed.length > 0) {
                    reportOwnServices(state);
                }
                for (const service of changed) {
                    const revision = state.resources.get(service)?.revision;
                    log.info("configuration-in-force", { service, revision });
                }
            },
            onParentOpened: () => reports.resendAll(),
        }),
    );

    const updateEndpoints = (state: MembershipState): void => {
        endpoints = buildEndpointIndex(membershipOperations.presentMembers(state));
        tracker.syncEndpoints(endpoints, clock.monotonicMs());
    };
    const membership: MembershipTask = resources.add(
        new MembershipTask({
            own: {
                id: settings.id,
                zone: settings.zone,
                incarnation: clock.wallMs(),
                sequence: 1,
                status: MemberStatus.Alive,
                peerAddress: settings.advertisePeer ?? formatAddress(peerAddress),
                inboundAddress: settings.advertiseInbound ?? formatAddress(inboundAddress),
                endpoints: [],
            },
            network,
            seeds: splitList(settings.seeds).map(parseAddressOrDefault),
            clock,
            log,
            reachedRevision: () => child.current.sourceRevision,
            onChange: updateEndpoints,
            onRememberedRevision: (revision) => readinessGate.raiseMinimumRevision(revision),
            gossiped: crashEvidence,
        }),
    );
    reportOwnServices(child.current);
    child.setServices(new Set(ownServices));

    const setBackends = (next: ReadonlyMap<string, LocalBackend>, leaving = false): void => {
        backends = next;
        const ownEndpoints = [...next.values()].map(({ backendVersion, service, slots, state }) => ({
            service,
            backendVersion,
            slots,
            state: leaving ? EndpointState.Draining : state,
        }));
        const currentEndpoints = membershipOperations.ownRecord(membership.current).endpoints;
        if (JSON.stringify(currentEndpoints) !== JSON.stringify(ownEndpoints)) {
            membership.changeOwn({ endpoints: ownEndpoints });
            log.info("backends-changed", { count: ownEndpoints.length, leaving });
        }
    };
    let stopping = false;
    resources.every(BACKEND_EXPIRY_INTERVAL_MS, () => {
        setBackends(localBackends.expire(backends, clock.monotonicMs()), stopping);
    });
    resources.every(STATISTICS_INTERVAL_MS, () => {
        const candidateStatistics = recorder.take().filter(({ service }) => routingTable.get(service)?.candidate);
        if (candidateStatistics.length > 0) {
            guard.observe(candidateStatistics);
            reports.reportOwn([], candidateStatistics);
        }
    });

    const runner = new CallRunner({
        clock,
        random,
        ownZone: settings.zone,
        upstream,
        tracker,
        endpoints: () => endpoints,
        crashEvidence,
    });
    const caller = resources.add(
        new CallerServer({
            nodeId: settings.id,
            clock,
            turns,
            random,
            routingTable: () => (readinessGate.isOpen(clock.monotonicMs()) ? routingTable : undefined),
            proxyFraction: (service, version) => hashFraction(`${settings.id}/${service}/${version}`),
            guard,
            recorder,
            runner,
            crashEvidence,
        }),
    );
    const host = resources.add(
        new HostServer({
            secret: settings.secret,
            announce: (announcement) => {
                setBackends(localBackends.announce(backends, announcement, clock.monotonicMs()), stopping);
            },
            status: () => ({
                id: settings.id,
                zone: settings.zone,
                parent: child.parentAddress,
                children: parent.childCount,
                sourceRevision: child.current.sourceRevision,
                serving: readinessGate.isOpen(clock.monotonicMs()),
                resources: [...child.current.resources.values()],
                servedRequests: caller.servedRequests,
                traffic: {
                    ...network.traffic,
                    sentByChannel: Object.fromEntries(network.traffic.sentByChannel),
                },
                memory: process.memoryUsage(),
                cpu: process.cpuUsage(),
            }),
            members: () => [...membership.current.members.values()].map(({ record }) => record),
            drain: onDrain,
        }),
    );
    resources.add(
        new StatsdTask(settings.statsd, settings.id, () => ({
            "node.requests": caller.servedRequests,
            "node.active_requests": caller.activeRequests,
            "node.children": parent.childCount,
            "node.crash_refused_requests": crashEvidence.refusedCount,
            "node.source_revision": child.current.sourceRevision,
            "node.sent_bytes": network.traffic.sentBytes,
        })),
    );

    const callerAddress = await caller.listen(parseAddressOrDefault(settings.callerAddress));
    const hostAddress = await host.listen(parseAddressOrDefault(settings.hostAddress));
    const addresses = { peer: peerAddress, caller: callerAddress, inbound: inboundAddress, host: hostAddress };
    log.info("node-started", {
        zone: settings.zone,
        peerAddress: formatAddress(peerAddress),
        callerAddress: formatAddress(callerAddress),
        inboundAddress: formatAddress(inboundAddress),
        hostAddress: formatAddress(hostAddress),
    });

    const stop = async (): Promise<void> => {
        stopping = true;
        log.info("node-draining");
        setBackends(backends, true);
        await pause(DRAIN_PROPAGATION_MS);
        caller.stopAccepting();
        inbound.stopAccepting();
        const deadlineMs = clock.monotonicMs() + settings.drainTimeoutMs;
        const startUntilMs = deadlineMs - Math.min(REFUSAL_RESERVE_MS, settings.drainTimeoutMs);
        const servers = [caller, inbound];
        servers.forEach((server) => server.limitTo(startUntilMs));
        while (caller.activeRequests + inbound.activeRequests > 0 && clock.monotonicMs() < deadlineMs) {
            if (clock.monotonicMs() >= startUntilMs) {
                servers.forEach((server) => server.refuseQueued());
            }
            await pause(IDLE_CHECK_INTERVAL_MS);
        }
        membership.leave();
        await pause(LEAVE_PROPAGATION_MS);
        log.info("node-stopped", { unfinished: caller.activeRequests + inbound.activeRequests });
        await resources.dispose();
    };
    return { addresses, stop, dispose: () => resources.dispose() };
};
