import { Evidence } from "./Evidence";
import { evidenceKey } from "./evidenceKey";
import { sumEvidence } from "./sumEvidence";

/** Adds evidence to what is gathered already, by service, version and route. */
export const addEvidence = (
    gathered: ReadonlyMap<string, Evidence>,
    added: readonly Evidence[],
): ReadonlyMap<string, Evidence> => {
    const next = new Map(gathered);
    for (const evidence of added) {
        const key = evidenceKey(evidence);
        const present = next.get(key);
        next.set(key, present ? sumEvidence(present, evidence) : evidence);
    }
    return next;
};
