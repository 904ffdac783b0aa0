import { MemoryBudget } from "../core/MemoryBudget";

/** Two bodies of the largest size that an operator may send. */
const MAXIMUM_HELD_BYTES = 67_108_864;

/** Limits the unfinished bodies of all listeners of the process together, but for those of callers' requests. */
export const requestMemory = new MemoryBudget(MAXIMUM_HELD_BYTES);
