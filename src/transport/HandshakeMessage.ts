/**
 * The messages that open a framed connection. A proof is an HMAC-SHA-256 over the prover's role, both nonces and the
 * prover's identity.
 */
export type HandshakeMessage =
    | { readonly kind: "challenge"; readonly nonce: string; readonly identity: string; }
    | {
        readonly kind: "response";
        readonly nonce: string;
        readonly identity: string;
        readonly proof: string;
        /** The interval between heartbeats on this connection, in ms. */
        readonly heartbeatMs: number;
    }
    | { readonly kind: "accepted"; readonly proof: string; };
