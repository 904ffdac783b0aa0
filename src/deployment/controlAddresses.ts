import { membershipOperations } from "../membership/membershipOperations";
import { MembershipState } from "../membership/MembershipState";

/** Returns the peer addresses of all known control replicas: those of current members and the seeds. */
export const controlAddresses = (state: MembershipState, seeds: readonly string[]): ReadonlySet<string> => {
    const members = membershipOperations.presentMembers(state).filter(({ isControl }) => isControl);
    return new Set([...seeds, ...members.map(({ peerAddress }) => peerAddress)]);
};
