import { LogEntry } from "./LogEntry";
import { Membership } from "./Membership";
import { ReplicatedLog } from "./ReplicatedLog";

const lastIndex = (log: ReplicatedLog): number => log.snapshotIndex + log.entries.length;

const entryAt = (log: ReplicatedLog, index: number): LogEntry | undefined => log.entries[index - log.snapshotIndex - 1];

const termAt = (log: ReplicatedLog, index: number): number | undefined =>
    index === log.snapshotIndex ? log.snapshotTerm : entryAt(log, index)?.term;

const lastTerm = (log: ReplicatedLog): number => termAt(log, lastIndex(log)) ?? 0;

const entriesFrom = (log: ReplicatedLog, index: number, limit: number): readonly LogEntry[] => {
    const start = index - log.snapshotIndex - 1;
    return log.entries.slice(start, start + limit);
};

const lastMembershipIndex = (log: ReplicatedLog): number => {
    const entry = log.entries.findLast(({ payload }) => payload.kind === "membership");
    return entry?.index ?? log.snapshotIndex;
};

/** The latest membership in the log applies, whether or not it is committed. */
const membershipOf = (log: ReplicatedLog): Membership => {
    const payload = entryAt(log, lastMembershipIndex(log))?.payload;
    return payload?.kind === "membership" ? payload.membership : log.snapshotMembership;
};

const membershipAt = (log: ReplicatedLog, index: number): Membership =>
    membershipOf({ ...log, entries: log.entries.slice(0, index - log.snapshotIndex) });

const truncateFrom = (log: ReplicatedLog, index: number): ReplicatedLog => ({
    ...log,
    entries: log.entries.slice(0, index - log.snapshotIndex - 1),
});

const append = (log: ReplicatedLog, entries: readonly LogEntry[]): ReplicatedLog => ({
    ...log,
    entries: [...log.entries, ...entries],
});

const compactTo = (log: ReplicatedLog, index: number): ReplicatedLog => ({
    snapshotIndex: index,
    snapshotTerm: termAt(log, index) ?? 0,
    snapshotMembership: membershipAt(log, index),
    entries: log.entries.slice(index - log.snapshotIndex),
});

/** Pure functions that read a log or return a changed copy of it. Indexes start at 1; 0 precedes the first entry. */
export const logOperations = {
    lastIndex,
    entryAt,
    termAt,
    lastTerm,
    entriesFrom,
    lastMembershipIndex,
    membershipOf,
    membershipAt,
    truncateFrom,
    append,
    compactTo,
} as const;
