/** States what may be repeated, and what a request's body is like. */
export type RequestKind =
    /** May safely run more than once. */
    | "idempotent"
    /** Runs at most once. */
    | "non-idempotent"
    /** Runs at most once, and has a large body. */
    | "upload";
