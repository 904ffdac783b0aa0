import { ConsensusAction } from "./ConsensusAction";
import { ConsensusState } from "./ConsensusState";

/** The result of one step: the next state and the actions to execute in order. */
export type StepResult = {
    readonly state: ConsensusState;
    readonly actions: readonly ConsensusAction[];
};
