import { ConsensusState } from "../consensus/ConsensusState";
import { ReplicatedLog } from "../consensus/ReplicatedLog";

/** One replica of the model: its state in memory and the state that it has synced to disk. */
export type ModelReplica = {
    readonly state: ConsensusState;
    readonly durable: DurableState;
};

type DurableState = {
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly log: ReplicatedLog;
};
