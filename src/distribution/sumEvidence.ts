import { Evidence } from "./Evidence";

/** Adds the counts of two pieces of evidence of the same service, version and route. */
export const sumEvidence = (left: Evidence, right: Evidence): Evidence => ({
    ...left,
    requests: left.requests + right.requests,
    errors: left.errors + right.errors,
    refusals: left.refusals + right.refusals,
    cancellations: left.cancellations + right.cancellations,
    latencies: left.latencies.map((count, bucket) => count + right.latencies[bucket]),
});
