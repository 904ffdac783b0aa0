import { EndpointState } from "../membership/EndpointState";
import { MemberRecord } from "../membership/MemberRecord";
import { RoutableBackend } from "./RoutableBackend";

/**
 * Returns the backend servers that accept requests, by service.
 * @param previous result, from which known backend servers keep the end of their slow start
 * @param isLeaving returns whether a backend server leaves although it is announced as ready
 */
export const readyBackends = (
    members: readonly MemberRecord[],
    nowMs: number,
    previous: ReadonlyMap<string, readonly RoutableBackend[]>,
    isLeaving: (backend: RoutableBackend) => boolean,
): ReadonlyMap<string, readonly RoutableBackend[]> => {
    const known = new Map(
        [...previous.values()].flat().map((backend) => [`${backend.nodeId}/${backend.instanceId}`, backend]),
    );
    const backends = new Map<string, RoutableBackend[]>();
    for (const { endpoints, id, inboundAddress, zone } of members) {
        for (const { backendVersion, bornMs, coldRemainingMs, instanceId, service, slots, state } of endpoints) {
            if (state !== EndpointState.Ready || instanceId === undefined) {
                continue;
            }
            const warmAtMs = known.get(`${id}/${instanceId}`)?.warmAtMs ?? nowMs + (coldRemainingMs ?? 0);
            const backend: RoutableBackend = {
                nodeId: id,
                address: inboundAddress,
                zone,
                service,
                version: backendVersion,
                instanceId,
                bornMs: bornMs ?? 0,
                slots,
                warmAtMs,
            };
            if (isLeaving(backend)) {
                continue;
            }
            const sameService = backends.get(service) ?? [];
            sameService.push(backend);
            backends.set(service, sameService);
        }
    }
    return backends;
};
