/** The result of an operator's request. */
export type AdministrationResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    /** This replica is not the leader. Holds the peer address of the leader, IP:PORT, if it is known. */
    | { readonly kind: "not-leader"; readonly leaderAddress: string | undefined; }
    /** The base version of the request is not the current version. */
    | { readonly kind: "conflict"; readonly currentVersion: number; }
    /** The request was rejected; `fault` says why. */
    | { readonly kind: "invalid"; readonly fault: string; }
    | { readonly kind: "not-found"; }
    /** No quorum confirmed the request in time; it may still take effect. */
    | { readonly kind: "unknown"; readonly reason: string; };
