import { timingSafeEqual } from "node:crypto";

/** Compares two proofs or tokens. The time depends only on their lengths, so it reveals no part of the expected one. */
export const proofsEqual = (left: string, right: string): boolean => {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};
