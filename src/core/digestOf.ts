import { createHash } from "node:crypto";
import { canonicalJson } from "./canonicalJson";

const DIGEST_HEX_DIGITS = 32;

/** Computes the digest of a value: the first 128 bits of the SHA-256 of its canonical JSON, in hexadecimal. */
export const digestOf = (value: unknown): string =>
    createHash("sha256").update(canonicalJson(value)).digest("hex").slice(0, DIGEST_HEX_DIGITS);
