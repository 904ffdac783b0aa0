import { MemberRecord } from "../membership/MemberRecord";

/** Returns the peer addresses of the control replicas that are known to be in the zone. */
export const controlAddressesIn = (zone: string, members: readonly MemberRecord[]): ReadonlySet<string> =>
    new Set(members.filter((member) => member.isControl && member.zone === zone).map(({ peerAddress }) => peerAddress));
