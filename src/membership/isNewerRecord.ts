import { MemberRecord } from "./MemberRecord";
import { MemberStatus } from "./MemberStatus";

/**
 * Returns whether `record` replaces `other`, both records of the same member. The status `Left` is final for an
 * incarnation, so that records that arrive late can't bring a member back.
 */
export const isNewerRecord = (record: MemberRecord, other: MemberRecord): boolean => {
    if (record.incarnation !== other.incarnation) {
        return record.incarnation > other.incarnation;
    }
    const recordLeft = record.status === MemberStatus.Left;
    const otherLeft = other.status === MemberStatus.Left;
    if (recordLeft !== otherLeft) {
        return recordLeft;
    }
    if (record.sequence !== other.sequence) {
        return record.sequence > other.sequence;
    }
    return record.status > other.status;
};
