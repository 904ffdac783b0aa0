import { ConsensusState } from "../consensus/ConsensusState";
import { ReplicatedLog } from "../consensus/ReplicatedLog";

/** One replica of the model: what is in memory and what has been synced. */
export type ModelNode = {
    readonly state: ConsensusState;
    readonly durable: DurableState;
};

type DurableState = {
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly log: ReplicatedLog;
};
