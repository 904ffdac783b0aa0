import { RequestStatistics } from "./RequestStatistics";

/** Adds the counts of two items of request statistics of the same service, version and route. */
export const sumStatistics = (left: RequestStatistics, right: RequestStatistics): RequestStatistics => ({
    ...left,
    requests: left.requests + right.requests,
    errors: left.errors + right.errors,
    refusals: left.refusals + right.refusals,
    cancellations: left.cancellations + right.cancellations,
    latencies: left.latencies.map((count, bucket) => count + right.latencies[bucket]),
});
