import { EndpointState } from "../membership/EndpointState";
import { MemberRecord } from "../membership/MemberRecord";
import { MemberStatus } from "../membership/MemberStatus";
import { EndpointTarget } from "./EndpointTarget";

/** Lists the backend servers that accept new requests, by "service/backendVersion". */
export const buildEndpointIndex = (
    members: readonly MemberRecord[],
): ReadonlyMap<string, readonly EndpointTarget[]> => {
    const index = new Map<string, EndpointTarget[]>();
    for (const { endpoints, id, inboundAddress, status, zone } of members) {
        for (const { backendVersion, service, slots, state } of endpoints) {
            if (state !== EndpointState.Ready) {
                continue;
            }
            const suspect = status !== MemberStatus.Alive;
            const target: EndpointTarget = { memberId: id, zone, inboundAddress, slots, suspect };
            const key = `${service}/${backendVersion}`;
            index.set(key, [...(index.get(key) ?? []), target]);
        }
    }
    return index;
};
