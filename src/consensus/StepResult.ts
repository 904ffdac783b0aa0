import { ConsensusAction } from "./ConsensusAction";
import { ConsensusState } from "./ConsensusState";

/** The outcome of one step: the next state and what to do, in order. */
export type StepResult = {
    readonly state: ConsensusState;
    readonly actions: readonly ConsensusAction[];
};
