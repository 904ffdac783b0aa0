import { Disposable } from "../core/Disposable";
import { DisposableStore } from "../core/DisposableStore";
import { Mailbox } from "../core/Mailbox";
import { RandomSource } from "../core/RandomSource";
import { ConsensusAction } from "./ConsensusAction";
import { ConsensusInput } from "./ConsensusInput";
import { ConsensusMessage } from "./ConsensusMessage";
import { ConsensusState } from "./ConsensusState";
import { ConsensusStatus } from "./ConsensusStatus";
import { ConsensusTimings } from "./ConsensusTimings";
import { createInitialState } from "./createInitialState";
import { LogEntry } from "./LogEntry";
import { logOperations } from "./logOperations";
import { Membership } from "./Membership";
import { MembershipChange } from "./MembershipChange";
import { ProposalOutcome } from "./ProposalOutcome";
import { ReplicaStore } from "./ReplicaStore";
import { ReplicaTransport } from "./ReplicaTransport";
import { responsiveness } from "./responsiveness";
import { Role } from "./Role";
import { StateComparison } from "./StateComparison";
import { StateMachine } from "./StateMachine";
import { StateStatement } from "./StateStatement";
import { step } from "./step";
import { toStoredForm } from "./toStoredForm";

const PROPOSAL_TIMEOUT_MS = 5_000;

/** Random spread of the first election timeout, as a multiple of `ConsensusTimings.firstElectionTimeoutMs`. */
const FIRST_ELECTION_SPREAD = 4;

/** Dependencies and settings of a consensus task. */
type ConsensusOptions = {
    readonly id: string;
    /** The membership that applies until the store holds one. */
    readonly firstMembership: Membership;
    readonly store: ReplicaStore;
    readonly transport: ReplicaTransport;
    readonly stateMachine: StateMachine;
    readonly timings: ConsensusTimings;
    readonly random: RandomSource;
    /** A snapshot is taken once this many entries have been applied since the last one. */
    readonly snapshotEveryEntries: number;
    readonly onChange: (status: ConsensusStatus) => void;
    /** Called when this leader steps down since too few peers responded; `responded` has the ids of those that did. */
    readonly onQuorumLost?: (responded: readonly string[]) => void;
    /** Called when the state of this replica differs from the leader's at the same entry. The leader's replaces it. */
    readonly onStateDiffers?: (appliedIndex: number) => void;
    /**
     * Called when a step failed, usually because of a disk error. The disk can't be trusted then, so the process must
     * stop.
     */
    readonly onFailure: (error: Error) => void;
};

/** A request of this process whose result is not known yet. `index` and `term` are set once its entry is in the log. */
type PendingRequest = {
    readonly settle: (outcome: ProposalOutcome) => void;
    readonly timer: NodeJS.Timeout;
    readonly index?: number;
    readonly term?: number;
};

/** Runs the consensus protocol: owns its state, timers and store, and applies committed commands to a state machine. */
export class ConsensusTask implements Disposable {
    private readonly resources = new DisposableStore();
    private readonly mailbox: Mailbox<ConsensusInput>;
    private readonly pendingRequests = new Map<string, PendingRequest>();
    private readonly comparison: StateComparison;
    private state: ConsensusState | undefined;
    private appliedIndex = 0;
    private electionTimer: NodeJS.Timeout | undefined;
    private nextRequest = 0;
    private failed = false;
    private hasSeenLeader = false;
    private lastStatusKey = "";

    public constructor(private readonly options: ConsensusOptions) {
        this.mailbox = new Mailbox((input) => this.handle(input), (error) => this.fail(error));
        this.resources.add(this.mailbox);
        this.comparison = new StateComparison(options.stateMachine);
    }

    /** Recovers the stored state and starts the timers. */
    public async start(): Promise<void> {
        const { firstMembership, id, stateMachine, store, timings } = this.options;
        const stored = await store.recover(firstMembership);
        stateMachine.restoreSnapshot(stored.snapshotData);
        this.state = createInitialState({ id, ...stored });
        this.appliedIndex = this.state.commitIndex;
        this.options.transport.setMembership(logOperations.membershipOf(this.state.log));
        this.resetElectionTimer();
        this.resources.every(timings.heartbeatIntervalMs, () => this.mailbox.post({ kind: "heartbeat-timeout" }));
        this.resources.every(timings.quorumCheckMs, () => this.mailbox.post({ kind: "quorum-check-timeout" }));
        this.resources.add({ dispose: () => clearTimeout(this.electionTimer) });
    }

    public status(): ConsensusStatus {
        const state = this.state;
        return {
            id: this.options.id,
            role: state?.role ?? Role.Follower,
            term: state?.term ?? 0,
            leaderId: state?.leaderId,
            commitIndex: state?.commitIndex ?? 0,
            appliedIndex: this.appliedIndex,
            membership: state ? logOperations.membershipOf(state.log) : this.options.firstMembership,
            votes: state?.votes ?? [],
            unresponsiveIds: responsiveness.unresponsiveIds(state?.peers ?? new Map()),
            isConfirmed: state?.isConfirmed ?? false,
        };
    }

    public receive(from: string, message: ConsensusMessage): void {
        this.mailbox.post({ kind: "receive", from, message });
    }

    /** Proposes a command and waits until this replica has applied it. */
    public propose(command: unknown): Promise<ProposalOutcome> {
        const stored = toStoredForm(command);
        return this.request((requestId) => ({ kind: "propose", requestId, command: stored }));
    }

    public changeMembership(change: MembershipChange): Promise<ProposalOutcome> {
        return this.request((requestId) => ({ kind: "change-membership", requestId, change }));
    }

    /** Waits until a quorum has confirmed that this replica leads and everything committed before has been applied. */
    public readBarrier(): Promise<ProposalOutcome> {
        return this.request((requestId) => ({ kind: "read", requestId }));
    }

    public async dispose(): Promise<void> {
        for (const requestId of [...this.pendingRequests.keys()]) {
            this.settle(requestId, { kind: "unknown", reason: "this replica is stopping" });
        }
        await this.resources.dispose();
        await this.options.store.dispose();
    }

    private request(toInput: (requestId: string) => ConsensusInput): Promise<ProposalOutcome> {
        this.nextRequest += 1;
        const requestId = `${this.options.id}-${this.nextRequest}`;
        return new Promise((settle) => {
            const onTimeout = (): void =>
                this.settle(requestId, { kind: "unknown", reason: `no quorum answered in ${PROPOSAL_TIMEOUT_MS} ms` });
            const timer = setTimeout(onTimeout, PROPOSAL_TIMEOUT_MS);
            this.pendingRequests.set(requestId, { settle, timer });
            this.mailbox.post(toInput(requestId));
        });
    }

    private settle(requestId: string, outcome: ProposalOutcome): void {
        const pending = this.pendingRequests.get(requestId);
        if (!pending) {
            return;
        }
        clearTimeout(pending.timer);
        this.pendingRequests.delete(requestId);
        pending.settle(outcome);
    }

    private async handle(input: ConsensusInput): Promise<void> {
        if (!this.state || this.failed) {
            return;
        }
        // Entries may have been applied since the compaction was requested. The snapshot's index must match its state.
        const effectiveInput = input.kind === "compact" ? { ...input, index: this.appliedIndex } : input;
        const { actions, state } = step(this.state, effectiveInput);
        this.state = state;
        for (const action of actions) {
            await this.perform(action, state);
        }
        if (input.kind === "receive" && input.message.kind === "append-request") {
            this.compareState(input.from, input.message.applied);
        }
        this.publishStatus();
    }

    private async perform(action: ConsensusAction, state: ConsensusState): Promise<void> {
        const { store, transport } = this.options;
        switch (action.kind) {
            case "persist-vote":
                await store.saveVote(action.term, action.votedFor);
                return;
            case "persist-entries":
                await store.saveEntries(action.fromIndex, action.entries);
                this.afterPersist(action.entries.at(-1)?.index ?? 0, state);
                return;
            case "install-snapshot":
                await this.installSnapshot(action.message, action.entries);
                return;
            case "compact":
                await this.saveSnapshot(action.index, state);
                return;
            case "send":
                transport.send(action.to, this.withStatement(action.to, this.withSnapshotData(action.message)));
                return;
            case "reset-election-timer":
                this.resetElectionTimer();
                return;
            case "committed":
                this.applyUpTo(action.index, state);
                return;
            case "appended":
                this.recordAppended(action);
                return;
            case "refused":
                this.settle(action.requestId, { kind: "refused", leaderId: action.leaderId, reason: action.reason });
                return;
            case "quorum-lost":
                this.options.onQuorumLost?.(action.responded);
                return;
            case "read-ready":
                this.settle(action.requestId, { kind: "applied", answer: action.index });
                return;
        }
    }

    private afterPersist(index: number, state: ConsensusState): void {
        this.options.transport.setMembership(logOperations.membershipOf(state.log));
        this.mailbox.post({ kind: "persisted", index });
    }

    /**
     * Adds the state machine's current state to a snapshot message, with the index, term and membership that belong to
     * it. This state includes at least all entries up to the log's snapshot index.
     */
    private withSnapshotData(message: ConsensusMessage): ConsensusMessage {
        if (message.kind !== "snapshot-request" || !this.state) {
            return message;
        }
        const index = this.appliedIndex;
        const { log } = this.state;
        return {
            ...message,
            index,
            snapshotTerm: logOperations.termAt(log, index) ?? message.snapshotTerm,
            membership: logOperations.membershipAt(log, index),
            data: this.options.stateMachine.takeSnapshot(),
        };
    }

    /** Adds what this leader states of its state, if the receiver then knows that all of its entries are committed. */
    private withStatement(to: string, message: ConsensusMessage): ConsensusMessage {
        if (message.kind !== "append-request" || message.commitIndex !== this.appliedIndex) {
            return message;
        }
        const applied = this.comparison.statementFor(to, this.appliedIndex, performance.now());
        return applied ? { ...message, applied } : message;
    }

    private compareState(from: string, stated: StateStatement | undefined): void {
        const isFromLeader = this.state?.leaderId === from;
        if (isFromLeader && stated && this.comparison.differs(stated, this.appliedIndex)) {
            this.options.onStateDiffers?.(this.appliedIndex);
            this.mailbox.post({ kind: "state-differs" });
        }
    }

    private async installSnapshot(
        message: ConsensusMessage & { readonly kind: "snapshot-request"; },
        entries: readonly LogEntry[],
    ): Promise<void> {
        const { data, index, membership, snapshotTerm: term } = message;
        await this.options.store.saveSnapshot({ index, term, membership, data }, entries);
        this.options.stateMachine.restoreSnapshot(data);
        this.comparison.reset();
        this.appliedIndex = index;
        this.options.transport.setMembership(membership);
    }

    private async saveSnapshot(index: number, state: ConsensusState): Promise<void> {
        const { entries, snapshotMembership: membership, snapshotTerm: term } = state.log;
        const data = this.options.stateMachine.takeSnapshot();
        await this.options.store.saveSnapshot({ index, term, membership, data }, entries);
    }

    private applyUpTo(index: number, state: ConsensusState): void {
        while (this.appliedIndex < index) {
            this.appliedIndex += 1;
            const entry = logOperations.entryAt(state.log, this.appliedIndex);
            const payload = entry?.payload;
            const answer = payload?.kind === "command" ? this.options.stateMachine.apply(payload.command) : undefined;
            this.settleAt(this.appliedIndex, entry?.term ?? 0, answer);
        }
        if (this.appliedIndex - state.log.snapshotIndex >= this.options.snapshotEveryEntries) {
            this.mailbox.post({ kind: "compact", index: this.appliedIndex });
        }
    }

    private recordAppended({ index, requestId, term }: ConsensusAction & { readonly kind: "appended"; }): void {
        const pending = this.pendingRequests.get(requestId);
        if (pending) {
            this.pendingRequests.set(requestId, { ...pending, index, term });
        }
    }

    private settleAt(index: number, term: number, answer: unknown): void {
        for (const [requestId, pending] of this.pendingRequests) {
            if (pending.index !== index) {
                continue;
            }
            const isOwnEntry = pending.term === term;
            this.settle(
                requestId,
                isOwnEntry
                    ? { kind: "applied", answer }
                    : { kind: "refused", leaderId: this.state?.leaderId, reason: "another leader replaced the entry" },
            );
        }
    }

    private resetElectionTimer(): void {
        clearTimeout(this.electionTimer);
        const delayMs = this.electionDelayMs();
        this.electionTimer = setTimeout(() => {
            this.mailbox.post({ kind: "election-timeout" });
        }, delayMs);
    }

    private electionDelayMs(): number {
        const { random, timings } = this.options;
        const { electionTimeoutMs, firstElectionTimeoutMs } = timings;
        this.hasSeenLeader ||= this.state?.leaderId !== undefined;
        return this.hasSeenLeader || firstElectionTimeoutMs === undefined
            ? electionTimeoutMs * (1 + random.fraction())
            : firstElectionTimeoutMs * (1 + FIRST_ELECTION_SPREAD * random.fraction());
    }

    /** Calls `onChange` if the role, the term, the leader, the applied index or `isConfirmed` has changed. */
    private publishStatus(): void {
        const status = this.status();
        const { appliedIndex, isConfirmed, leaderId, role, term } = status;
        const key = `${role}/${term}/${leaderId}/${appliedIndex}/${isConfirmed}`;
        if (key !== this.lastStatusKey) {
            this.lastStatusKey = key;
            this.options.onChange(status);
        }
    }

    private fail(error: Error): void {
        this.failed = true;
        this.options.onFailure(error);
    }
}
