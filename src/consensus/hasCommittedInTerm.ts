import { ConsensusState } from "./ConsensusState";
import { logOperations } from "./logOperations";

/**
 * Returns whether an entry of the current term is committed. The commit index of this replica then includes every entry
 * that was committed in earlier terms.
 */
export const hasCommittedInTerm = ({ commitIndex, log, term }: ConsensusState): boolean =>
    logOperations.termAt(log, commitIndex) === term;
