import { MemberRecord } from "./MemberRecord";

/** The members as one process sees them. */
export type MembershipState = {
    readonly ownId: string;
    readonly members: ReadonlyMap<string, KnownMember>;
    /** Rises with every change of the members. */
    readonly changes: number;
    /** Equal on two processes that hold the same records. */
    readonly digest: number;
};

type KnownMember = {
    readonly record: MemberRecord;
    /** When this record was taken in, in milliseconds of the monotonic clock. */
    readonly sinceMs: number;
};
