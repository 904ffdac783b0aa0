import { RequestStatistics } from "./RequestStatistics";

/** Returns the map key of request statistics: their service, version and route. */
export const statisticsKey = (
    { route, service, version }: Pick<RequestStatistics, "route" | "service" | "version">,
): string => `${service}/${version}/${route}`;
