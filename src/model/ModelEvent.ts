import { ConsensusInput } from "../consensus/ConsensusInput";

/** One transition of the model: an input to a replica, and whether the replica crashes while it handles the input. */
export type ModelEvent = {
    /** Id of the replica. `npm run model` prints it under this name. */
    readonly nodeId: string;
    readonly input: ConsensusInput;
    /** Index in `ModelState.network` of the message that the input delivers. */
    readonly messageIndex?: number;
    /** The message stays in flight and may be delivered again. */
    readonly duplicate?: boolean;
    /** The replica crashes after executing this many actions and restarts from its durable state. */
    readonly crashAfterActions?: number;
};
