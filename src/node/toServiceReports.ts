import { ResourceState } from "../distribution/ResourceState";
import { ServiceReport } from "../distribution/ServiceReport";
import { CandidateGuard } from "../proxy/CandidateGuard";

/**
 * Reports, for each service that this proxy's callers use, which revision the proxy holds and whether it suppresses the
 * candidate version.
 */
export const toServiceReports = (
    zone: string,
    services: readonly string[],
    { resources }: ResourceState,
    guard: CandidateGuard,
): readonly ServiceReport[] =>
    services.map((service) => {
        const revision = resources.get(service)?.revision;
        return {
            zone,
            service,
            subscribers: 1,
            holding: revision === undefined ? [] : [{ revision, proxies: 1 }],
            suppressing: guard.isSuppressed(service) ? 1 : 0,
        };
    });
