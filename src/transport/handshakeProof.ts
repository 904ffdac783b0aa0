import { createHmac } from "node:crypto";

/**
 * Computes the proof that the prover knows the shared secret. It is valid for one connection, because of the nonces of
 * both ends, and for one role, so that a peer can't send back the proof it received.
 * @param role which side of the connection the prover is on
 * @returns HMAC-SHA-256 in hexadecimal
 */
export const handshakeProof = (
    secret: string,
    role: "client" | "server",
    nonces: readonly string[],
    identity: string,
): string => createHmac("sha256", secret).update([role, ...nonces, identity].join("\n")).digest("hex");
