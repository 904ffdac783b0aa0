import { createHash } from "node:crypto";

/** Hashes a text to a uniformly distributed signed 32-bit integer that is the same in every process. */
export const hashNumber = (text: string): number => createHash("md5").update(text).digest().readInt32BE(0);
