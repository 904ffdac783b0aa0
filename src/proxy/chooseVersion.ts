import { RoutingTable } from "./RoutingTable";

type ServiceRouting = RoutingTable extends ReadonlyMap<string, infer Routing> ? Routing : never;

/** What the choice depends on besides the routing. Fractions are in [0, 1). */
type VersionChoice = {
    /** Fixed for this proxy and candidate: which proxies take part in a move. */
    readonly proxyFraction: number;
    readonly requestFraction: number;
    /** This proxy has stopped sending to the candidate on its own evidence. */
    readonly suppressed: boolean;
};

/** Chooses between the stable version and the candidate of a move. A first version has no other to choose. */
export const chooseVersion = (
    { candidate, stable }: ServiceRouting,
    { proxyFraction, requestFraction, suppressed }: VersionChoice,
): ServiceRouting["stable"] => {
    if (!candidate || !stable) {
        return candidate ?? stable;
    }
    const takesPart = !suppressed && proxyFraction < candidate.proxyShare;
    return takesPart && requestFraction < candidate.requestShare ? candidate : stable;
};
