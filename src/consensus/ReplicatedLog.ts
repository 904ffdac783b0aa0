import { LogEntry } from "./LogEntry";
import { Membership } from "./Membership";

/** The log after the last snapshot. `entries[0]` has the index `snapshotIndex + 1`. */
export type ReplicatedLog = {
    readonly snapshotIndex: number;
    readonly snapshotTerm: number;
    readonly snapshotMembership: Membership;
    readonly entries: readonly LogEntry[];
};
