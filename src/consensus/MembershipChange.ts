/** One step of a membership change. A replacement is added as a learner and promoted once it has caught up. */
export type MembershipChange =
    | { readonly kind: "add-learner"; readonly id: string; readonly address: string; }
    | { readonly kind: "promote"; readonly id: string; }
    | { readonly kind: "remove"; readonly id: string; };
