/** The messages that open a framed connection. Proofs are HMAC-SHA-256 over both nonces and the identities. */
export type HandshakeMessage =
    | { readonly kind: "challenge"; readonly nonce: string; readonly identity: string; }
    | { readonly kind: "response"; readonly nonce: string; readonly identity: string; readonly proof: string; }
    | { readonly kind: "accepted"; readonly proof: string; };
