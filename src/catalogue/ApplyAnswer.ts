/** The answer to a catalogue command. A resent command gets the answer of the first. */
export type ApplyAnswer =
    | { readonly kind: "accepted"; readonly version: number; readonly revision: number; }
    | { readonly kind: "conflict"; readonly version: number; }
    | { readonly kind: "unknown-entry"; }
    | { readonly kind: "nothing-to-take-back"; }
    | { readonly kind: "stale"; };
