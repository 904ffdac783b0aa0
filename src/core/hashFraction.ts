import { hashNumber } from "./hashNumber";

const HASH_RANGE = 2 ** 32;

/** Maps a text to a number in [0, 1) that is uniform over texts and the same in every process. */
export const hashFraction = (text: string): number => (hashNumber(text) >>> 0) / HASH_RANGE;
