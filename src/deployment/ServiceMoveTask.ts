import { ProposalOutcome } from "../consensus/ProposalOutcome";
import { Clock } from "../core/Clock";
import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { EventLog } from "../core/EventLog";
import { Evidence } from "../distribution/Evidence";
import { evidenceKey } from "../distribution/evidenceKey";
import { sumEvidence } from "../distribution/sumEvidence";
import { JudgeState } from "../moves/JudgeState";
import { judging } from "../moves/judging";
import { decideServiceMove } from "./decideServiceMove";
import { DeploymentCommand } from "./DeploymentCommand";
import { DeploymentState } from "./DeploymentState";
import { moveVersions } from "./moveVersions";
import { ServiceMoveState } from "./ServiceMoveState";

/** What the leader steps moves with. */
type ServiceMoveOptions = {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly state: () => DeploymentState;
    readonly propose: (command: DeploymentCommand) => Promise<ProposalOutcome>;
};

type TrackedMove = DeploymentState["moves"] extends ReadonlyMap<string, infer Move> ? Move : never;

/** A move as this leader follows it. */
type FollowedMove = {
    readonly id: number;
    readonly judge: JudgeState;
    /** On the steady clock: when this leader first saw the move, and when its share last changed. */
    readonly seenAtMs: number;
    readonly shareSinceMs: number;
};

/** Evidence of all nodes is gathered for this long before it is judged: one batch of theirs. */
const DECISION_INTERVAL_MS = 250;

/** Steps moves on, finishes them and takes them back, while this replica leads. */
export class ServiceMoveTask implements Disposable {
    private readonly resources = new DisposableStore();
    private followed = new Map<string, FollowedMove>();
    private readonly gathered = new Map<string, Evidence>();
    private leading = false;
    private proposing = false;

    public constructor(private readonly options: ServiceMoveOptions) {
        this.resources.every(DECISION_INTERVAL_MS, () => void this.decide());
    }

    /** A new leader starts without evidence. */
    public lead(leading: boolean): void {
        if (this.leading !== leading) {
            this.leading = leading;
            this.followed = new Map();
        }
    }

    public observe(evidence: readonly Evidence[]): void {
        if (!this.leading) {
            return;
        }
        for (const batch of evidence) {
            const key = evidenceKey(batch);
            const present = this.gathered.get(key);
            this.gathered.set(key, present ? sumEvidence(present, batch) : batch);
        }
    }

    public dispose(): Promise<void> {
        return this.resources.dispose();
    }

    private running(): readonly TrackedMove[] {
        return [...this.options.state().moves.values()].filter(({ state }) => state === ServiceMoveState.Running);
    }

    private followRunning(): void {
        const nowMs = this.options.clock.monotonicMs();
        const next = new Map<string, FollowedMove>();
        for (const { id, service } of this.running()) {
            const present = this.followed.get(service);
            const judge = judging.start(service, moveVersions.others, moveVersions.target);
            const fresh = { id, judge, seenAtMs: nowMs, shareSinceMs: nowMs };
            next.set(service, present?.id === id ? present : fresh);
        }
        this.followed = next;
    }

    private judgeGathered(): void {
        const batch = [...this.gathered.values()];
        this.gathered.clear();
        for (const [service, followed] of this.followed) {
            this.followed.set(service, { ...followed, judge: judging.observe(followed.judge, batch) });
        }
    }

    private async decide(): Promise<void> {
        if (!this.leading || this.proposing) {
            return;
        }
        this.followRunning();
        this.judgeGathered();
        this.proposing = true;
        try {
            for (const move of this.running()) {
                await this.decideOn(move);
            }
        }
        finally {
            this.proposing = false;
        }
    }

    private async decideOn(move: TrackedMove): Promise<void> {
        const followed = this.followed.get(move.service);
        if (!followed) {
            return;
        }
        const { clock, log, propose } = this.options;
        const nowMs = clock.monotonicMs();
        // The time of day may jump, so the order's age counts only up to the whole duration.
        const ageMs = Math.min(Math.max(0, clock.wallMs() - move.acceptedAtMs), move.durationMs);
        const watchedMs = nowMs - followed.seenAtMs;
        const targetRequests = judging.candidateRequests(followed.judge);
        const suspicion = judging.suspicion(followed.judge);
        const decision = decideServiceMove({
            share: move.share,
            remainingMs: move.durationMs - Math.max(watchedMs, ageMs),
            atShareMs: nowMs - followed.shareSinceMs,
            watchedMs,
            targetRequests,
            suspicion,
        });
        if (decision.kind === "wait") {
            return;
        }
        const { id: moveId, service } = move;
        const command: DeploymentCommand = decision.kind === "change-share"
            ? { kind: "change-share", service, moveId, share: decision.share }
            : { kind: "end-move", service, moveId, state: decision.state, reason: decision.reason };
        const outcome = await propose(command);
        log.info("move-decided", {
            service,
            targetVersion: move.targetVersion,
            decision: decision.kind,
            share: decision.kind === "change-share" ? decision.share : undefined,
            state: decision.kind === "end-move" ? decision.state : undefined,
            reason: decision.reason,
            targetRequests,
            suspicion: suspicion?.strength.toFixed(1),
            outcome: outcome.kind,
        });
        if (outcome.kind === "applied") {
            const present = this.followed.get(service);
            if (present) {
                this.followed.set(service, { ...present, shareSinceMs: clock.monotonicMs() });
            }
        }
    }
}
