import { isNewerRecord } from "./isNewerRecord";
import { MemberRecord } from "./MemberRecord";
import { MembershipMessage } from "./MembershipMessage";
import { MembershipState } from "./MembershipState";

type MemberVersions = (MembershipMessage & { readonly kind: "versions"; })["versions"];

/** The records that the holder of `versions` lacks, and whether it holds some that are newer than ours. */
type Comparison = {
    readonly toSend: readonly MemberRecord[];
    readonly lacking: boolean;
};

/** Compares our records with the versions that a peer holds. */
export const compareVersions = (state: MembershipState, versions: MemberVersions): Comparison => {
    const theirs = new Map(versions.map((version) => [version.id, version]));
    const toSend: MemberRecord[] = [];
    let lacking = versions.some(({ id }) => !state.members.has(id));
    for (const { record } of state.members.values()) {
        const version = theirs.get(record.id);
        if (!version) {
            toSend.push(record);
            continue;
        }
        const held: MemberRecord = { ...record, ...version };
        if (isNewerRecord(record, held)) {
            toSend.push(record);
        }
        lacking ||= isNewerRecord(held, record);
    }
    return { toSend, lacking };
};
