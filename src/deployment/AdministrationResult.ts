/** What became of an operator's request. */
export type AdministrationResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    /** Another replica leads; its peer address, where it is known. */
    | { readonly kind: "not-leader"; readonly leaderAddress: string | undefined; }
    /** Another version is current. */
    | { readonly kind: "conflict"; readonly currentVersion: number; }
    | { readonly kind: "invalid"; readonly fault: string; }
    | { readonly kind: "not-found"; }
    /** No quorum answered in time: the request may still take effect. */
    | { readonly kind: "unknown"; readonly reason: string; };
