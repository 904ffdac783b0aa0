import { CatalogueEntry } from "./CatalogueEntry";

/** Allowance for bringing one step to every proxy. */
const DISTRIBUTION_ALLOWANCE_MS = 1_000;

/**
 * The shortest time, in milliseconds, in which a move within the entry's limits can be in force everywhere:
 * the bake time of every step before the last, and the time to distribute each step.
 */
export const earliestCompletionMs = ({ requestShareSteps, bakeMs }: CatalogueEntry["limits"]): number =>
    (requestShareSteps.length - 1) * bakeMs + requestShareSteps.length * DISTRIBUTION_ALLOWANCE_MS;
