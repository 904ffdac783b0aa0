import { membershipChanges } from "../membership/membershipChanges";
import { MembershipState } from "../membership/MembershipState";

/** Peer addresses of all control replicas that are known: members, and seeds that no member was heard of at. */
export const controlAddresses = (state: MembershipState, seeds: readonly string[]): ReadonlySet<string> => {
    const members = membershipChanges.present(state).filter(({ isControl }) => isControl);
    return new Set([...seeds, ...members.map(({ peerAddress }) => peerAddress)]);
};
