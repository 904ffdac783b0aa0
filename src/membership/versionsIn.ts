import { EndpointState } from "./EndpointState";
import { MemberRecord } from "./MemberRecord";

/** Returns the versions of a service's backend servers that accept requests. */
export const versionsIn = (members: readonly MemberRecord[], service: string): ReadonlySet<string> =>
    new Set(
        members
            .flatMap(({ endpoints }) => endpoints)
            .filter((endpoint) => endpoint.service === service && endpoint.state === EndpointState.Ready)
            .map(({ backendVersion }) => backendVersion),
    );
