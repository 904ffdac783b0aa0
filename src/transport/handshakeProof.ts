import { createHmac } from "node:crypto";

/**
 * Computes the proof that the prover knows the shared secret. It is valid for one connection, because of the nonces of
 * both ends, and for one role, so that a peer can't send back the proof it received.
 * @param direction the role of the prover
 * @returns HMAC-SHA-256 in hexadecimal
 */
export const handshakeProof = (
    secret: string,
    direction: "client" | "server",
    nonces: readonly string[],
    identity: string,
): string => createHmac("sha256", secret).update([direction, ...nonces, identity].join("\n")).digest("hex");
