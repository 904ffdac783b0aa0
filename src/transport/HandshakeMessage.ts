/** The messages that open a framed connection. Proofs are HMAC-SHA-256 over both nonces and the identities. */
export type HandshakeMessage =
    | { readonly kind: "challenge"; readonly nonce: string; readonly identity: string; }
    | {
        readonly kind: "response";
        readonly nonce: string;
        readonly identity: string;
        readonly proof: string;
        /** The pace of empty frames on this connection, in ms. */
        readonly heartbeatMs: number;
    }
    | { readonly kind: "accepted"; readonly proof: string; };
