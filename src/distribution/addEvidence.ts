import { Evidence } from "./Evidence";
import { evidenceKey } from "./evidenceKey";
import { sumEvidence } from "./sumEvidence";

/** Adds evidence to the existing evidence of the same service, version and route. Maps are keyed by `evidenceKey`. */
export const addEvidence = (
    existing: ReadonlyMap<string, Evidence>,
    added: readonly Evidence[],
): ReadonlyMap<string, Evidence> => {
    const next = new Map(existing);
    for (const evidence of added) {
        const key = evidenceKey(evidence);
        const current = next.get(key);
        next.set(key, current ? sumEvidence(current, evidence) : evidence);
    }
    return next;
};
