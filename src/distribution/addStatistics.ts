import { RequestStatistics } from "./RequestStatistics";
import { statisticsKey } from "./statisticsKey";
import { sumStatistics } from "./sumStatistics";

/** Adds request statistics to those of the same service, version and route. Maps are keyed by `statisticsKey`. */
export const addStatistics = (
    existing: ReadonlyMap<string, RequestStatistics>,
    added: readonly RequestStatistics[],
): ReadonlyMap<string, RequestStatistics> => {
    const next = new Map(existing);
    for (const statistics of added) {
        const key = statisticsKey(statistics);
        const current = next.get(key);
        next.set(key, current ? sumStatistics(current, statistics) : statistics);
    }
    return next;
};
