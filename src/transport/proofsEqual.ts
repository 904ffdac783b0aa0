import { timingSafeEqual } from "node:crypto";

/** Compares two proofs in constant time, so that the timing reveals nothing about the expected one. */
export const proofsEqual = (left: string, right: string): boolean => {
    const leftBytes = Buffer.from(left);
    const rightBytes = Buffer.from(right);
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
};
