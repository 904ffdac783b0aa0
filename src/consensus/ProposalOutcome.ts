/** The outcome of a proposal. A "refused" one never takes effect; an "unknown" one may still take effect. */
export type ProposalOutcome =
    | { readonly kind: "applied"; readonly answer: unknown; }
    | { readonly kind: "refused"; readonly leaderId: string | undefined; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };
