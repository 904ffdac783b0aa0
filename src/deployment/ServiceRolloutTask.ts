import { ProposalOutcome } from "../consensus/ProposalOutcome";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { RequestStatistics } from "../distribution/RequestStatistics";
import { statisticsKey } from "../distribution/statisticsKey";
import { sumStatistics } from "../distribution/sumStatistics";
import { MemberRecord } from "../membership/MemberRecord";
import { canaryAnalysis } from "../moves/canaryAnalysis";
import { CanaryAnalysisState } from "../moves/CanaryAnalysisState";
import { decideServiceRollout } from "./decideServiceRollout";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";
import { excludedVersions } from "./excludedVersions";
import { isTargetEvacuated } from "./isTargetEvacuated";
import { RolloutAssessment } from "./RolloutAssessment";
import { rolloutVersions } from "./rolloutVersions";
import { ServiceRolloutState } from "./ServiceRolloutState";
import { versionCensus } from "./versionCensus";

/** Dependencies of a `ServiceRolloutTask`. */
type ServiceRolloutOptions = {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly state: () => DeploymentState;
    readonly members: () => readonly MemberRecord[];
    readonly propose: (command: DeploymentCommand) => Promise<ProposalOutcome>;
};

type RolloutRecord = DeploymentState["moves"] extends ReadonlyMap<string, infer Rollout> ? Rollout : never;

/** What this leader has observed of a running rollout. */
type RolloutObservation = {
    readonly id: number;
    readonly analysis: CanaryAnalysisState;
    /** Monotonic times at which this leader first saw the rollout, and at which its share last changed. */
    readonly firstSeenAtMs: number;
    readonly shareSinceMs: number;
    /** True if it was suspended before: its duration then counts from `firstSeenAtMs`. */
    readonly isResumed: boolean;
    /** When the current suspension began; undefined while there is none. */
    readonly suspendedSinceMs: number | undefined;
};

/** Request statistics are collected for this long before each decision: the interval at which a node sends a batch. */
const DECISION_INTERVAL_MS = 250;

/** How often the census is brought up to date while there is nothing to decide. */
const CENSUS_INTERVAL_MS = 1_000;

/** Advances, finishes and rolls back rollouts while this replica is the leader. */
export class ServiceRolloutTask implements Disposable {
    private readonly resources = new DisposableStore();
    /** By service. */
    private observations = new Map<string, RolloutObservation>();
    private readonly pendingStatistics = new Map<string, RequestStatistics>();
    private census: ReturnType<typeof versionCensus.create>;
    private leading = false;
    private hasPendingCommand = false;

    public constructor(private readonly options: ServiceRolloutOptions) {
        this.census = versionCensus.create(options.clock.monotonicMs());
        this.resources.every(DECISION_INTERVAL_MS, () => void this.decideAll());
        this.resources.every(CENSUS_INTERVAL_MS, () => this.updateCensus());
    }

    /** Starts or stops deciding on rollouts. Each change discards the earlier observations. */
    public setLeading(leading: boolean): void {
        if (this.leading !== leading) {
            this.leading = leading;
            this.observations = new Map();
        }
    }

    /** Adds request statistics from a node. Ignored unless this replica is the leader. */
    public addStatistics(statistics: readonly RequestStatistics[]): void {
        if (!this.leading) {
            return;
        }
        for (const batch of statistics) {
            const key = statisticsKey(batch);
            const pending = this.pendingStatistics.get(key);
            this.pendingStatistics.set(key, pending ? sumStatistics(pending, batch) : batch);
        }
    }

    /** What this replica knows of the versions in use that matters for an order. False if it doesn't know. */
    public assess(service: string, targetVersion: string): RolloutAssessment {
        this.updateCensus();
        const { clock, state } = this.options;
        const { evacuatedZones, moves } = state();
        const replaced = moves.get(service);
        const { excludedVersions: excludedBefore = [], targetVersion: replacedVersion } = replaced ?? {};
        const inUse = versionCensus.versionsInUse(
            this.census,
            { service, excludedVersions: excludedBefore },
            evacuatedZones,
            clock.monotonicMs(),
        );
        const rollsBackReplaced = [...inUse ?? []].some((version) =>
            version !== targetVersion && version !== replacedVersion
        );
        const excluded = excludedVersions(replaced, targetVersion, rollsBackReplaced);
        const isOnlyVersion = this.findOnlyVersion({ service, targetVersion, excludedVersions: excluded }) === true;
        const isNewVersion = inUse !== undefined && !inUse.has(targetVersion);
        return { isNewVersion, isOnlyVersion, rollsBackReplaced };
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private runningRollouts(): readonly RolloutRecord[] {
        return [...this.options.state().moves.values()].filter(({ state }) => state === ServiceRolloutState.Running);
    }

    private updateCensus(): void {
        const { clock, members } = this.options;
        this.census = versionCensus.observe(this.census, members(), clock.monotonicMs());
    }

    private findOnlyVersion(rollout: Parameters<typeof versionCensus.isOnlyVersion>[1]): boolean | undefined {
        const { clock, state } = this.options;
        return versionCensus.isOnlyVersion(this.census, rollout, state().evacuatedZones, clock.monotonicMs());
    }

    /** Commits whether other versions are left for each rollout whose version may serve alone. */
    private async updateOnlyVersions(): Promise<void> {
        const { log, propose, state } = this.options;
        const rollouts = [...state().moves.values()].filter(({ isFaulty, state: rolloutState }) =>
            rolloutState !== ServiceRolloutState.Finished && !isFaulty
        );
        if (rollouts.some(({ state: rolloutState }) => rolloutState === ServiceRolloutState.Running)) {
            this.updateCensus();
        }
        for (const rollout of rollouts) {
            const { id: moveId, service, targetVersion } = rollout;
            const isOnlyVersion = this.findOnlyVersion(rollout) ?? rollout.isOnlyVersion ?? false;
            if (isOnlyVersion !== (rollout.isOnlyVersion ?? false)) {
                const outcome = await propose({ kind: "set-only-version", service, moveId, isOnlyVersion });
                log.info("move-only-version", { service, targetVersion, isOnlyVersion, outcome: outcome.kind });
            }
        }
    }

    private updateObservations(): void {
        const nowMs = this.options.clock.monotonicMs();
        const next = new Map<string, RolloutObservation>();
        for (const { id, service, targetVersion } of this.runningRollouts()) {
            const existing = this.observations.get(service);
            const analysis = canaryAnalysis.start(service, rolloutVersions.others, rolloutVersions.target);
            const fresh = {
                id,
                analysis,
                firstSeenAtMs: nowMs,
                shareSinceMs: nowMs,
                isResumed: false,
                suspendedSinceMs: undefined,
            };
            const observation = existing?.id === id ? existing : fresh;
            next.set(service, this.updateSuspension(observation, { service, targetVersion }, fresh));
        }
        this.observations = next;
    }

    /**
     * Suspends the rollout while its target version is out of service. Afterwards its duration begins again, with new
     * observations: the earlier ones may show the fault for which the zone was evacuated.
     */
    private updateSuspension(
        observation: RolloutObservation,
        rollout: Pick<RolloutRecord, "service" | "targetVersion">,
        fresh: RolloutObservation,
    ): RolloutObservation {
        const { clock, log, members, state } = this.options;
        const nowMs = clock.monotonicMs();
        const { suspendedSinceMs } = observation;
        if (isTargetEvacuated(rollout, state().evacuatedZones, members())) {
            if (suspendedSinceMs === undefined) {
                log.info("move-suspended", { ...rollout });
            }
            return { ...observation, suspendedSinceMs: suspendedSinceMs ?? nowMs };
        }
        if (suspendedSinceMs === undefined) {
            return observation;
        }
        log.info("move-resumed", { ...rollout, suspendedMs: Math.round(nowMs - suspendedSinceMs) });
        return { ...fresh, isResumed: true };
    }

    private evaluatePendingStatistics(): void {
        const batch = [...this.pendingStatistics.values()];
        this.pendingStatistics.clear();
        for (const [service, observation] of this.observations) {
            this.observations.set(service, {
                ...observation,
                analysis: canaryAnalysis.observe(observation.analysis, batch),
            });
        }
    }

    private async decideAll(): Promise<void> {
        if (!this.leading || this.hasPendingCommand) {
            return;
        }
        this.updateObservations();
        this.evaluatePendingStatistics();
        this.hasPendingCommand = true;
        try {
            await this.updateOnlyVersions();
            for (const rollout of this.runningRollouts()) {
                await this.decideRollout(rollout);
            }
        }
        finally {
            this.hasPendingCommand = false;
        }
    }

    private async decideRollout(rollout: RolloutRecord): Promise<void> {
        const observation = this.observations.get(rollout.service);
        if (!observation || observation.suspendedSinceMs !== undefined) {
            return;
        }
        const { clock, log, propose } = this.options;
        const nowMs = clock.monotonicMs();
        // The wall clock may jump, so the age of the request is limited to the duration of the rollout.
        const ageMs = Math.min(Math.max(0, clock.wallMs() - rollout.acceptedAtMs), rollout.durationMs);
        const observedMs = nowMs - observation.firstSeenAtMs;
        const targetRequests = canaryAnalysis.candidateRequests(observation.analysis);
        const regression = canaryAnalysis.strongestRegression(observation.analysis);
        const decision = decideServiceRollout({
            share: rollout.share,
            remainingMs: rollout.durationMs - (observation.isResumed ? observedMs : Math.max(observedMs, ageMs)),
            timeAtShareMs: nowMs - observation.shareSinceMs,
            observedMs,
            targetRequests,
            regression,
            baselineRequests: canaryAnalysis.baselineRequests(observation.analysis),
            isOnlyVersion: rollout.isOnlyVersion ?? false,
        });
        if (decision.kind === "wait") {
            return;
        }
        const { id: moveId, service } = rollout;
        const command: DeploymentCommand = decision.kind === "change-share"
            ? { kind: "change-share", service, moveId, share: decision.share }
            : {
                kind: "end-move",
                service,
                moveId,
                state: decision.state,
                reason: decision.reason,
                isFaulty: decision.isFaulty,
            };
        const outcome = await propose(command);
        log.info("move-decided", {
            service,
            targetVersion: rollout.targetVersion,
            decision: decision.kind,
            share: decision.kind === "change-share" ? decision.share : undefined,
            state: decision.kind === "end-move" ? decision.state : undefined,
            reason: decision.reason,
            targetRequests,
            suspicion: regression?.strength.toFixed(1),
            outcome: outcome.kind,
        });
        if (outcome.kind === "applied") {
            const latest = this.observations.get(service);
            if (latest) {
                this.observations.set(service, { ...latest, shareSinceMs: clock.monotonicMs() });
            }
        }
    }
}
