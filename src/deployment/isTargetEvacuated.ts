import { EndpointState } from "../membership/EndpointState";
import { MemberRecord } from "../membership/MemberRecord";
import { ServiceRollout } from "./ServiceRollout";

/**
 * True if a zone is evacuated and no other zone has a backend server that runs the target version of the rollout. The
 * members of an evacuated zone may be unknown, because an evacuated zone has often failed. Therefore a version of which
 * no backend server is known at all counts as evacuated too.
 */
export const isTargetEvacuated = (
    { service, targetVersion }: Pick<ServiceRollout, "service" | "targetVersion">,
    evacuatedZones: ReadonlySet<string>,
    members: readonly MemberRecord[],
): boolean =>
    evacuatedZones.size > 0
    && !members.some(({ endpoints, zone }) =>
        !evacuatedZones.has(zone)
        && endpoints.some((endpoint) =>
            endpoint.service === service && endpoint.backendVersion === targetVersion
            && endpoint.state === EndpointState.Ready
        )
    );
