import { RoutingTable } from "./RoutingTable";

type ServiceRouting = RoutingTable extends ReadonlyMap<string, infer Routing> ? Routing : never;

/** Inputs of the choice besides the routing. Fractions are in [0, 1). */
type VersionSelectionContext = {
    /** Fixed for this proxy and candidate: decides whether this proxy takes part in the rollout. */
    readonly proxyFraction: number;
    /** Random for each request. */
    readonly requestFraction: number;
    /** This proxy has stopped sending requests to the candidate because of its own request statistics. */
    readonly suppressed: boolean;
};

/**
 * Chooses between the stable version and the candidate of a rollout. If only one of them exists, as for a first
 * version, it is chosen.
 */
export const chooseVersion = (
    { candidate, stable }: ServiceRouting,
    { proxyFraction, requestFraction, suppressed }: VersionSelectionContext,
): ServiceRouting["stable"] => {
    if (!candidate || !stable) {
        return candidate ?? stable;
    }
    const participates = !suppressed && proxyFraction < candidate.proxyShare;
    return participates && requestFraction < candidate.requestShare ? candidate : stable;
};
