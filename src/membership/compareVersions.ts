import { isNewerRecord } from "./isNewerRecord";
import { MemberRecord } from "./MemberRecord";
import { MembershipMessage } from "./MembershipMessage";
import { MembershipState } from "./MembershipState";

type MemberVersions = (MembershipMessage & { readonly kind: "versions"; })["versions"];

type Comparison = {
    /** Records that the peer lacks or holds in an older version. */
    readonly toSend: readonly MemberRecord[];
    /** True if the peer holds a record that is newer than ours or unknown to us. */
    readonly peerHasNewer: boolean;
};

/** Compares our records with the versions that a peer holds. */
export const compareVersions = (state: MembershipState, versions: MemberVersions): Comparison => {
    const peerVersions = new Map(versions.map((version) => [version.id, version]));
    const toSend: MemberRecord[] = [];
    let peerHasNewer = versions.some(({ id }) => !state.members.has(id));
    for (const { record } of state.members.values()) {
        const peerVersion = peerVersions.get(record.id);
        if (!peerVersion) {
            toSend.push(record);
            continue;
        }
        const peerRecord: MemberRecord = { ...record, ...peerVersion };
        if (isNewerRecord(record, peerRecord)) {
            toSend.push(record);
        }
        peerHasNewer ||= isNewerRecord(peerRecord, record);
    }
    return { toSend, peerHasNewer };
};
