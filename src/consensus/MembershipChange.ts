/** A change of one replica. A new replica is added as a learner and promoted to voter once it has caught up. */
export type MembershipChange =
    | { readonly kind: "add-learner"; readonly id: string; readonly address: string; }
    | { readonly kind: "promote"; readonly id: string; }
    | { readonly kind: "remove"; readonly id: string; };
