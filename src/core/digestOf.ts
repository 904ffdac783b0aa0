import { createHash } from "node:crypto";
import { canonicalJson } from "./canonicalJson";

const DIGEST_HEX_DIGITS = 32;

/** The digest of a value: 128 bits of SHA-256 over its canonical JSON, in hexadecimal. */
export const digestOf = (value: unknown): string =>
    createHash("sha256").update(canonicalJson(value)).digest("hex").slice(0, DIGEST_HEX_DIGITS);
