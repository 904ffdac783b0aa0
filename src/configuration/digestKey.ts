import { createHash } from "node:crypto";

/** Returns the SHA-256 of an API key, in hexadecimal. Nodes hold and compare only digests. */
export const digestKey = (key: string): string => createHash("sha256").update(key).digest("hex");
