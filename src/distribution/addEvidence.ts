import { Evidence } from "./Evidence";
import { evidenceKey } from "./evidenceKey";

const sum = (left: Evidence, right: Evidence): Evidence => ({
    ...left,
    requests: left.requests + right.requests,
    errors: left.errors + right.errors,
    refusals: left.refusals + right.refusals,
    cancellations: left.cancellations + right.cancellations,
    latencies: left.latencies.map((count, bucket) => count + right.latencies[bucket]),
});

/** Adds evidence to what is gathered already, by service, version and route. */
export const addEvidence = (
    gathered: ReadonlyMap<string, Evidence>,
    added: readonly Evidence[],
): ReadonlyMap<string, Evidence> => {
    const next = new Map(gathered);
    for (const evidence of added) {
        const key = evidenceKey(evidence);
        const present = next.get(key);
        next.set(key, present ? sum(present, evidence) : evidence);
    }
    return next;
};
