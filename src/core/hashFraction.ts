import { hashNumber } from "./hashNumber";

const HASH_RANGE = 2 ** 32;

/** Hashes a text to a uniformly distributed number in [0, 1) that is the same in every process. */
export const hashFraction = (text: string): number => (hashNumber(text) >>> 0) / HASH_RANGE;
