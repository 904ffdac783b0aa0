/** What became of a proposal. "refused" is certain not to take effect; "unknown" may still take effect. */
export type ProposalOutcome =
    | { readonly kind: "applied"; readonly answer: unknown; }
    | { readonly kind: "refused"; readonly leaderId: string | undefined; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };
