import { MemberRecord } from "./MemberRecord";
import { MemberStatus } from "./MemberStatus";

/** True if `left` replaces `right`. Leaving is final for an incarnation, so that no late news brings a member back. */
export const isNewerRecord = (left: MemberRecord, right: MemberRecord): boolean => {
    if (left.incarnation !== right.incarnation) {
        return left.incarnation > right.incarnation;
    }
    const leftLeft = left.status === MemberStatus.Left;
    const rightLeft = right.status === MemberStatus.Left;
    if (leftLeft !== rightLeft) {
        return leftLeft;
    }
    if (left.sequence !== right.sequence) {
        return left.sequence > right.sequence;
    }
    return left.status > right.status;
};
