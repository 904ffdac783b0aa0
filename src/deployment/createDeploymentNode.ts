import { randomUUID } from "node:crypto";
import { AccountIndex } from "../accounts/AccountIndex";
import { AuthenticationStage } from "../accounts/AuthenticationStage";
import { LeaseStage } from "../accounts/LeaseStage";
import { LeaseTask } from "../accounts/LeaseTask";
import { QuotaStage } from "../accounts/QuotaStage";
import { QuotaTask } from "../accounts/QuotaTask";
import { BackendClient } from "../calls/BackendClient";
import { BackendDirectory } from "../calls/BackendDirectory";
import { BackendSelector } from "../calls/BackendSelector";
import { BackendViews } from "../calls/BackendViews";
import { BodyReceiver } from "../calls/BodyReceiver";
import { CallDispatcher } from "../calls/CallDispatcher";
import { CallReceiver } from "../calls/CallReceiver";
import { CallTask } from "../calls/CallTask";
import { CrashGuard } from "../calls/CrashGuard";
import { HealthCheckClient } from "../calls/HealthCheckClient";
import { IngressServer } from "../calls/IngressServer";
import { isServerError } from "../calls/isServerError";
import { LeavingBackends } from "../calls/LeavingBackends";
import { localInstances } from "../calls/localInstances";
import { NestedCalls } from "../calls/NestedCalls";
import { readyBackends } from "../calls/readyBackends";
import { RouteStatistics } from "../calls/RouteStatistics";
import { SplitSequence } from "../calls/SplitSequence";
import { RouteIndex } from "../configuration/RouteIndex";
import { Disposable } from "../core/Disposable";
import { EventLog } from "../core/EventLog";
import { EventLoopTurns } from "../core/EventLoopTurns";
import { memoryShares } from "../core/memoryShares";
import { openLogOutput } from "../core/openLogOutput";
import { CrashEvidenceTask } from "../crashes/CrashEvidenceTask";
import { DepartureTask } from "../departures/DepartureTask";
import { membershipOperations } from "../membership/membershipOperations";
import { MembershipState } from "../membership/MembershipState";
import { MembershipTask } from "../membership/MembershipTask";
import { MemberStatus } from "../membership/MemberStatus";
import { MetricsServer } from "../metrics/MetricsServer";
import { createProcessContext } from "../process/createProcessContext";
import { uniqueSeed } from "../process/uniqueSeed";
import { StatisticsRecorder } from "../proxy/StatisticsRecorder";
import { parseAddressOrDefault } from "../transport/parseAddressOrDefault";
import { classifyAttempt } from "./classifyAttempt";
import { ConfigurationSubscriber } from "./ConfigurationSubscriber";
import { controlAddresses } from "./controlAddresses";
import { controlAddressesIn } from "./controlAddressesIn";
import { DeploymentNodeSettings } from "./DeploymentNodeSettings";
import { finishCalls } from "./finishCalls";
import { LocalBackendAdministration } from "./LocalBackendAdministration";
import { LocalBackendTask } from "./LocalBackendTask";
import { NodeEvacuations } from "./NodeEvacuations";
import { NodeMetrics } from "./NodeMetrics";
import { rolloutVersions } from "./rolloutVersions";
import { ServiceRolloutState } from "./ServiceRolloutState";

/** A running node of a deployment. */
type DeploymentNode = Disposable & {
    readonly backend: LocalBackendAdministration;
    readonly log: EventLog;
    /** Replaces the peer addresses of the seeds. */
    readonly setSeeds: (seeds: readonly string[]) => void;
    /** Shuts down gracefully: finishes accepted requests, then leaves the mesh. */
    readonly stop: () => Promise<void>;
};

/** How often request statistics on rollouts are sent to the control replicas. */
const STATISTICS_INTERVAL_MS = 250;

/** Requests that waited unread for longer are logged. */
const LATE_READ_MS = 100;

/** Requests whose callers may have left unnoticed for longer are logged when they start. */
const LATE_START_MS = 250;

/** Fraction of the descriptors that callers may take; the others are for links, backend servers and files. */
const CALLER_CONNECTION_SHARE = 0.5;

/** Fraction of the drain time for which a draining backend server gets requests; the rest covers those in transit. */
const DRAIN_GRACE_FRACTION = 0.6;

/** Fraction of the shared retry ratio that each node uses, so that all nodes together stay below the shared budget. */
const NODE_RETRY_BUDGET_FRACTION = 0.5;

/** Creates and starts a node of a deployment. */
export const createDeploymentNode = async (settings: DeploymentNodeSettings): Promise<DeploymentNode> => {
    const { headerNames, peerAddress, secret, service: ownService, zone } = settings;
    let { seeds } = settings;
    const output = openLogOutput();
    const { clock, localHost, log, network, random, resources } = createProcessContext({
        name: settings.id,
        identity: settings.id,
        secret,
        peerAddress,
        seed: uniqueSeed(settings.id),
        output,
    });

    // Replaced as a whole with each configuration. A request reads it once, so it sees one consistent version.
    let routes:
        | {
            readonly index: RouteIndex;
            readonly version: number;
            readonly maximumBodyBytes: number;
            readonly coldRequestsPerSecond: ReadonlyMap<string, number | undefined>;
            readonly accounts: AccountIndex | undefined;
        }
        | undefined;
    const turns = resources.add(new EventLoopTurns(clock));
    const directory = new BackendDirectory(zone);
    let stopping = false;
    const shares = memoryShares(settings.memoryBytes);

    const client = resources.add(
        new BackendClient(
            headerNames,
            (instanceId, notice) => receiver.applyNotice(instanceId, notice),
            (reason, instance) => {
                metrics.countInvalidResponse(reason);
                log.infoRateLimited("backend-response-invalid", { instance, reason });
            },
            shares.responses,
        ),
    );
    const metrics: NodeMetrics = new NodeMetrics({
        configurationVersion: () => routes?.version ?? 0,
        knownBackends: () => [...directory.backendsByService.values()].flat().length,
        activeRequests: () => ingress.activeRequests,
        pipelinedRequests: () => ingress.waitingRequests,
        activeBackendRequests: () => receiver.activeCalls,
        pendingResponseBytes: () => client.heldBytes,
        pendingBodyBytes: () => bodyReceiver.pendingBytes,
        callerBodyBytes: () => ingress.bodyBytes,
        unreadResponseBytes: () => ingress.unreadResponseBytes,
        backendLimit: () => receiver.limitInEffect,
        evacuatedZones: () => evacuations.count,
        crashSuspects: () => crashEvidence.size,
        refusedFingerprints: () => crashEvidence.refusedCount,
        openedConnections: () => client.openedConnections,
        quotaTokens: () => quotaTask.availableTokens,
        droppedLogLines: () => output.droppedLines(),
        leaseRemainingMs: () => routes?.accounts && lease?.remainingMs(),
    });
    metrics.zoneTraffic.observe(network, zone);
    metrics.zoneTraffic.logPeriodically(log, resources);
    const crashEvidence: CrashEvidenceTask = resources.add(
        new CrashEvidenceTask({
            clock,
            log,
            versionsInService: (service) => directory.versionsOf(service),
            spread: (reports) => membership.spread(reports),
            onRefused: (fingerprint, retryAfterMs) => receiver.refuseCrashing(fingerprint, retryAfterMs),
        }),
    );
    const nestedCalls = new NestedCalls();
    const receiver: CallReceiver = new CallReceiver({
        clock,
        turns,
        nestedCalls,
        client,
        crashGuard: new CrashGuard({
            clock,
            evidence: crashEvidence,
            isPlannedEnd: ({ service, version }) => directory.isReplaced(service, version),
        }),
        healthChecks: new HealthCheckClient(headerNames),
        cold: { overage: settings.coldOverage, slack: settings.coldSlack },
        drainGraceMs: settings.drainMs * DRAIN_GRACE_FRACTION,
        onNotice: ({ id }, { isLeaving, limitPerSecond }) => {
            log.infoRateLimited("backend-notice", { instance: id, limitPerSecond, leaving: isLeaving });
            localBackend.publish();
        },
        onColdChange: ({ id }, state) => log.infoRateLimited("backend-cold-state", { instance: id, state }),
        onHealthCheck: (instance, outcome) => {
            metrics.countHealthCheck(outcome);
            if (outcome !== "warm" && outcome !== "cold") {
                log.infoRateLimited("health-check-failed", { instance, outcome });
            }
        },
        onStart: ({ requestId, unconfirmedMs = 0 }) => {
            metrics.observeStart(unconfirmedMs);
            if (unconfirmedMs >= LATE_START_MS) {
                log.infoRateLimited("request-started-late", { request: requestId, unconfirmedMs });
            }
        },
        onRun: (request, result, slotMs, lateMs) => {
            metrics.slotUsage.recordRun(request, result, slotMs, lateMs);
            localBackend.onResult(request, result);
        },
        onNotServed: (request, result, details) => {
            const { fingerprint, instanceId, requestId, service } = request;
            const reason = result.kind === "answered" ? "answered" : result.reason;
            metrics.countRefusal(reason, details.limitedBy);
            if (result.kind === "not-run") {
                metrics.slotUsage.recordRefusal(request, details.active < details.slots);
            }
            // Lines of their own, since the many requests that then find no backend server use up the others.
            log.infoRateLimited(reason === "backend-ended" ? reason : "call-not-served", {
                request: requestId,
                fingerprint,
                service,
                instance: instanceId,
                outcome: result.kind,
                reason,
                ...details,
            });
        },
    });
    metrics.slotUsage.logPeriodically(log, resources, () => receiver.slots);
    const onRead = (request: string, from: string, ageMs: number, remainingMs?: number): void => {
        metrics.observeRequestAge(from === "caller" ? "caller" : "node", ageMs);
        if (ageMs >= LATE_READ_MS) {
            log.infoRateLimited("request-read-late", { request, from, ageMs: Math.round(ageMs), remainingMs });
        }
    };
    const evacuations = new NodeEvacuations({ ownZone: zone, log, directory, receiver });
    const bodyReceiver = new BodyReceiver({
        clock,
        linkBytesPerMs: settings.linkBytesPerMs,
        limitBytes: shares.linkBodies,
    });
    const views = new BackendViews();
    const statistics = new RouteStatistics();
    const leavingBackends = new LeavingBackends();
    const calls = resources.add(
        new CallTask({
            ownId: settings.id,
            network,
            clock,
            turns,
            receiver,
            bodyReceiver,
            onReceived: (from, { remainingMs, requestId }, ageMs) => onRead(requestId, from, ageMs, remainingMs),
            onLoad: (nodeId, load, route) => {
                views.updateLoad(nodeId, load, clock.monotonicMs());
                if (load.isDraining && leavingBackends.add(load, clock.monotonicMs())) {
                    updateMembers(membership.current);
                }
                if (load.routeServiceMs !== undefined) {
                    statistics.recordServiceTime(route, load.routeServiceMs);
                }
                if (load.isNested !== undefined) {
                    nestedCalls.learn(route, load.isNested);
                }
            },
        }),
    );
    const departures: DepartureTask = resources.add(
        new DepartureTask({
            clock,
            log,
            sendToNeighbours: (message) => membership.sendToNeighbours(message),
            sendToControl: (message, address) => configuration.send(message, address),
            isControlConnected: () => configuration.isConnected,
            onChange: () => localBackend.onDepartures(),
            onDecided: (outcome) => metrics.countDeparture(outcome),
        }),
    );
    const quotaTask: QuotaTask = resources.add(
        new QuotaTask({
            clock,
            random,
            log,
            sender: `${settings.id}/${randomUUID()}`,
            send: (request, address) => configuration.send(request, address),
            onDecision: (outcome) => metrics.countQuotaDecision(outcome),
        }),
    );
    await network.listen(parseAddressOrDefault(peerAddress));

    const updateMembers = (state: MembershipState): void => {
        const members = membershipOperations.presentMembers(state);
        metrics.zoneTraffic.updateMembers(members);
        const nowMs = clock.monotonicMs();
        directory.updateBackends(
            readyBackends(
                members,
                nowMs,
                directory.backendsByService,
                (candidate) => leavingBackends.has(candidate, nowMs),
            ),
        );
        calls.updateMembers(new Map(members.map(({ incarnation, peerAddress }) => [peerAddress, incarnation])));
        views.keepOnly([...directory.backendsByService.values()].flat());
        configuration.setControlAddresses(controlAddresses(state, seeds), controlAddressesIn(zone, members));
    };
    const configuration: ConfigurationSubscriber = resources.add(
        new ConfigurationSubscriber({
            network,
            log,
            onConfiguration: (next) => {
                const { accounts, limits, services, version } = next;
                routes = {
                    index: new RouteIndex(next),
                    version,
                    maximumBodyBytes: limits.maximumBodyBytes,
                    accounts: accounts && new AccountIndex(accounts),
                    coldRequestsPerSecond: new Map(
                        services.map(({ coldRequestsPerSecond, name }) => [name, coldRequestsPerSecond]),
                    ),
                };
                receiver.configure(services);
                lease?.check();
                quotaTask.updateAccounts(accounts);
                ingress.applyLimits(limits);
                const routeNames = new Set(next.routes.map(({ name }) => name));
                statistics.keepOnly(routeNames);
                splits.keepOnly(routeNames);
            },
            onEvacuations: (zones, revision) => evacuations.apply(zones, revision),
            onLease: (control, grant) => lease?.onGrant(control, grant),
            onTokens: (answer, address) => quotaTask.receive(answer, address),
            onControl: (address) => departures.onControl(address),
            onDepartures: (message) => departures.receiveFromControl(message),
            onRejected: () => metrics.countRejectedConfiguration(),
            onRollouts: (next) => {
                directory.updateRollouts(next);
                for (const { isOnlyVersion, reason, service, share, state, targetVersion } of next.values()) {
                    log.info("move-in-force", { service, targetVersion, state, share, isOnlyVersion, reason });
                }
            },
        }),
    );

    const { keyRevocationMs } = settings;
    const lease: LeaseTask | undefined = keyRevocationMs === undefined ? undefined : resources.add(
        new LeaseTask({
            clock,
            log,
            revocationMs: keyRevocationMs,
            held: () => ({ version: routes?.version ?? 0, hasAccounts: routes?.accounts !== undefined }),
            send: (number, control) => configuration.sendRenewal(number, control),
        }),
    );

    const splits = new SplitSequence(random);
    const recorder = new StatisticsRecorder();
    const dispatcher: CallDispatcher = new CallDispatcher({
        clock,
        turns,
        calls,
        views,
        statistics,
        nestedCalls,
        crashEvidence,
        isEvacuated: (service) => directory.isEvacuated(service),
        selector: new BackendSelector({
            clock,
            random,
            views,
            statistics,
            backendsOf: (service) => directory.choose(service, random.fraction()),
            stableBackendsOf: (service) => directory.chooseStable(service),
            zone,
            linkBytesPerMs: settings.linkBytesPerMs,
            pricePerKilobyte: settings.zonePricePerKilobyte,
            onChoice: (service, target, reason) => metrics.countZoneChoice(service, target, reason),
        }),
        allowance: {
            ratio: settings.retryRatio * NODE_RETRY_BUDGET_FRACTION,
            windowMs: settings.retryWindowMs,
            slack: 1,
        },
        coldRequestsPerSecond: (service) => routes?.coldRequestsPerSecond.get(service),
        onAttempt: ({ attempt, choice, elapsedMs, overdue, requestId, result, route }) => {
            metrics.countAttempt(result.kind === "answered" ? "answered" : result.reason);
            if (result.kind !== "answered") {
                log.infoRateLimited("attempt-failed", {
                    request: requestId,
                    route,
                    node: choice.nodeId,
                    instance: choice.instanceId,
                    attempt,
                    outcome: result.kind,
                    reason: result.reason,
                    elapsedMs: Math.round(elapsedMs),
                });
            }
            const rollout = directory.rolloutOf(choice.service);
            const startedMs = clock.monotonicMs() - elapsedMs;
            const inSlowStart = startedMs < choice.warmAtMs;
            const isCold = startedMs < views.viewOf(choice).coldUntilMs;
            const outcome = classifyAttempt({ result, overdue, inSlowStart, isCold });
            if (rollout?.state === ServiceRolloutState.Running && outcome) {
                const version = choice.version === rollout.targetVersion
                    ? rolloutVersions.target
                    : rolloutVersions.others;
                recorder.record({ service: choice.service, version, route, outcome, elapsedMs });
            }
        },
    });
    const ingress: IngressServer = resources.add(
        new IngressServer({
            names: headerNames,
            clock,
            turns,
            dispatcher,
            callerService: ownService,
            findRoute: (host, target) =>
                routes && {
                    route: routes.index.find(host, target),
                    configurationVersion: routes.version,
                    maximumBodyBytes: routes.maximumBodyBytes,
                    hasAccounts: routes.accounts !== undefined,
                },
            stages: [
                new AuthenticationStage(() => routes?.accounts),
                ...(lease ? [new LeaseStage(lease, random)] : []),
                new QuotaStage(quotaTask),
            ],
            chooseService: (route) => splits.next(route),
            limits: {
                bodyBytes: shares.callerBodies,
                unreadResponseBytes: shares.unreadResponses,
                connections: Math.floor(settings.maximumDescriptors * CALLER_CONNECTION_SHARE),
            },
            onDisconnected: (reason) => {
                metrics.countDisconnection(reason);
                log.infoRateLimited("caller-disconnected", { reason });
            },
            onRead: (requestId, unreadMs) => onRead(requestId, "caller", unreadMs),
            onRefusal: ({ requestId, ...refusal }) => {
                metrics.countRequest(refusal.status, refusal.reason, refusal.elapsedMs);
                log.infoRateLimited("request-refused", { request: requestId, ...refusal });
            },
            onServed: ({ earlierMs, elapsedMs, lateMs, requestId, route, status }) => {
                metrics.countRequest(status, "", elapsedMs);
                const isFailed = isServerError(status);
                metrics.countAnswered(earlierMs > 0, isFailed ? "failed" : lateMs > 0 ? "late" : "in-time");
                if (isFailed || lateMs > 0) {
                    log.infoRateLimited(isFailed ? "request-failed" : "request-late", {
                        request: requestId,
                        route,
                        status,
                        elapsedMs: Math.round(elapsedMs),
                        lateMs: Math.round(lateMs),
                        earlierMs: Math.round(earlierMs),
                    });
                }
            },
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
                inboundAddress: peerAddress,
                endpoints: [],
            },
            network,
            seeds: seeds.map(parseAddressOrDefault),
            clock,
            log,
            reachedRevision: () => configuration.current?.version ?? 0,
            onChange: updateMembers,
            onRememberedRevision: () => undefined,
            gossiped: crashEvidence,
            exchange: departures,
        }),
    );
    updateMembers(membership.current);

    const localBackend: LocalBackendTask = new LocalBackendTask({ clock, log, receiver, membership, departures });
    const backend: LocalBackendAdministration = {
        mayOmitStart: () => localInstances.mayOmitStart(receiver.localInstance),
        announce: (announcement) => localBackend.announce(announcement),
        deregister: (id, bornMs) => localBackend.deregister(id, bornMs),
        isReady: () => routes !== undefined && !stopping,
    };
    resources.every(STATISTICS_INTERVAL_MS, () => {
        const batch = recorder.take();
        if (batch.length > 0) {
            configuration.sendStatistics(batch);
        }
    });

    await ingress.listen(parseAddressOrDefault(settings.callerAddress));
    if (settings.metricsPort !== undefined) {
        const server = resources.add(new MetricsServer(metrics.registry));
        await server.listen({ host: localHost, port: settings.metricsPort });
    }
    log.info("node-started", { zone, peerAddress, callerAddress: settings.callerAddress, seeds: seeds.join(",") });

    const stop = async (): Promise<void> => {
        stopping = true;
        const startedMs = clock.monotonicMs();
        log.info("node-draining", { active: ingress.activeRequests, forBackend: receiver.activeCalls });
        ingress.drain();
        const { unfinished } = await finishCalls({
            clock,
            graceMs: settings.stopGraceMs,
            calls: {
                active: () => ingress.activeRequests + receiver.activeCalls,
                limitAnswers: (withinMs) => calls.limitAnswers(withinMs),
                withdrawBackend: () => localBackend.stop(),
                refuseAll: () => ingress.refuseAll(),
                stopListening: () => ingress.stopListening(),
            },
        });
        membership.leave();
        log.info("node-stopped", {
            unfinished,
            pipelined: ingress.waitingRequests,
            atOtherNodes: calls.outstandingRequests,
            forBackend: receiver.activeCalls,
            tookMs: Math.round(clock.monotonicMs() - startedMs),
        });
        await resources.dispose();
        output.close();
    };
    const setSeeds = (next: readonly string[]): void => {
        seeds = next;
        membership.setSeeds(next.map(parseAddressOrDefault));
        updateMembers(membership.current);
    };
    return { backend, log, setSeeds, stop, dispose: stop };
};
