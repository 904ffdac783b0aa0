import { ConsensusInput } from "../consensus/ConsensusInput";
import { ConsensusState } from "../consensus/ConsensusState";
import { StepResult } from "../consensus/StepResult";

/** The protocol under test. The checks pass a mutated one to prove that the model notices. */
export type ModelRules = (state: ConsensusState, input: ConsensusInput) => StepResult;
