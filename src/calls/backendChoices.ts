import { EndpointState } from "../membership/EndpointState";
import { MemberRecord } from "../membership/MemberRecord";
import { BackendChoice } from "./BackendChoice";

/**
 * The backend servers that take requests, by service.
 * @param previous keeps the end of slow start of those known before
 */
export const backendChoices = (
    members: readonly MemberRecord[],
    nowMs: number,
    previous: ReadonlyMap<string, readonly BackendChoice[]>,
): ReadonlyMap<string, readonly BackendChoice[]> => {
    const known = new Map(
        [...previous.values()].flat().map((choice) => [`${choice.nodeId}/${choice.instanceId}`, choice]),
    );
    const choices = new Map<string, BackendChoice[]>();
    for (const { endpoints, id, inboundAddress, zone } of members) {
        for (const { backendVersion, coldRemainingMs, instanceId, service, slots, state } of endpoints) {
            if (state !== EndpointState.Ready || instanceId === undefined) {
                continue;
            }
            const warmAtMs = known.get(`${id}/${instanceId}`)?.warmAtMs ?? nowMs + (coldRemainingMs ?? 0);
            const choice: BackendChoice = {
                nodeId: id,
                address: inboundAddress,
                zone,
                service,
                version: backendVersion,
                instanceId,
                slots,
                warmAtMs,
            };
            const present = choices.get(service) ?? [];
            present.push(choice);
            choices.set(service, present);
        }
    }
    return choices;
};
