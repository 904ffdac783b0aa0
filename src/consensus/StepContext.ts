import { ConsensusAction } from "./ConsensusAction";
import { ConsensusState } from "./ConsensusState";
import { logOperations } from "./logOperations";
import { Membership } from "./Membership";
import { QuorumRule } from "./QuorumRule";
import { StepResult } from "./StepResult";

/** Accumulates the next state and the actions of one step. */
export class StepContext {
    private readonly actions: ConsensusAction[] = [];

    public constructor(public state: ConsensusState, public readonly hasQuorum: QuorumRule) {}

    public get membership(): Membership {
        return logOperations.membershipOf(this.state.log);
    }

    /** The other replicas, learners included. */
    public get peerIds(): readonly string[] {
        const { voters, learners } = this.membership;
        return [...voters, ...learners].map(({ id }) => id).filter((id) => id !== this.state.id);
    }

    public get isVoter(): boolean {
        return this.membership.voters.some(({ id }) => id === this.state.id);
    }

    public update(change: Partial<ConsensusState>): void {
        this.state = { ...this.state, ...change };
    }

    public addAction(action: ConsensusAction): void {
        this.actions.push(action);
    }

    public result(): StepResult {
        return { state: this.state, actions: this.actions };
    }
}
