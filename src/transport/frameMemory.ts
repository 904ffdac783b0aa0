import { MemoryBudget } from "../core/MemoryBudget";

/** Two frames of the largest size. */
const MAXIMUM_HELD_BYTES = 33_554_432;

/** Limits the unfinished frames, and those that peers have not read, of all connections of the process together. */
export const frameMemory = new MemoryBudget(MAXIMUM_HELD_BYTES);
