import { createHmac } from "node:crypto";

/** Proves knowledge of the shared secret for one connection and one direction. */
export const handshakeProof = (
    secret: string,
    direction: "client" | "server",
    nonces: readonly string[],
    identity: string,
): string => createHmac("sha256", secret).update([direction, ...nonces, identity].join("\n")).digest("hex");
