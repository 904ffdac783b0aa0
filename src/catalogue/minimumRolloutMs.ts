import { CatalogueEntry } from "./CatalogueEntry";

/** Time allowed for distributing one step to every proxy. */
const DISTRIBUTION_ALLOWANCE_MS = 1_000;

/**
 * The shortest time, in milliseconds, in which a rollout can be in force everywhere within the entry's limits: the bake
 * time of every step before the last, and the time to distribute each step.
 */
export const minimumRolloutMs = ({ requestShareSteps, bakeMs }: CatalogueEntry["limits"]): number =>
    (requestShareSteps.length - 1) * bakeMs + requestShareSteps.length * DISTRIBUTION_ALLOWANCE_MS;
