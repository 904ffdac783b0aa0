import { ConsensusMessage } from "../consensus/ConsensusMessage";

/** A message in flight. It may be delivered at any time, in any order, or never. */
export type ModelMessage = {
    readonly from: string;
    readonly to: string;
    readonly message: ConsensusMessage;
};
