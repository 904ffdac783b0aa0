import { MemberRecord } from "./MemberRecord";

/** The members as known to one process. */
export type MembershipState = {
    readonly ownId: string;
    /** Members by id, including this process and members that are dead or have left. */
    readonly members: ReadonlyMap<string, KnownMember>;
    /** Increases with every change of the members. */
    readonly changeCount: number;
    /** Equal on two processes that hold the same records. */
    readonly digest: number;
};

type KnownMember = {
    readonly record: MemberRecord;
    /** Monotonic time at which this record was stored, in milliseconds. */
    readonly recordedAtMs: number;
};
