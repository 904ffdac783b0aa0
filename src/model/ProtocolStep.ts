import { ConsensusInput } from "../consensus/ConsensusInput";
import { ConsensusState } from "../consensus/ConsensusState";
import { StepResult } from "../consensus/StepResult";

/** The step function of the protocol under test. Tests pass faulty ones to prove that the model detects the fault. */
export type ProtocolStep = (state: ConsensusState, input: ConsensusInput) => StepResult;
