import { ConsensusInput } from "../consensus/ConsensusInput";

/** One event of a run: an input to a replica, and whether the replica crashes while it acts on it. */
export type ModelEvent = {
    readonly nodeId: string;
    readonly input: ConsensusInput;
    /** Index into the network of the message that the input delivers. */
    readonly messageIndex?: number;
    /** The message stays under way, to be delivered again. */
    readonly duplicate?: boolean;
    /** The replica crashes after this many actions and restarts from its disk. */
    readonly crashAfterActions?: number;
};
