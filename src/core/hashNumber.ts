import { createHash } from "node:crypto";

/** Maps a text to a 32-bit number that is uniform over texts and the same in every process. */
export const hashNumber = (text: string): number => createHash("md5").update(text).digest().readInt32BE(0);
