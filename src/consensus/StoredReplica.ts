import { ReplicatedLog } from "./ReplicatedLog";

/** The recovered durable state of a replica. */
export type StoredReplica = {
    readonly term: number;
    readonly votedFor: string | undefined;
    readonly log: ReplicatedLog;
    /** The state machine's state at `log.snapshotIndex`, undefined before the first snapshot. */
    readonly snapshotData: unknown;
};
