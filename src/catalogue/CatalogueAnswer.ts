/** The result of a catalogue command. A command resent with the same idempotency key gets the stored first result. */
export type CatalogueAnswer =
    /** `version` is the entry's current version, `revision` the catalogue's, both after the command. */
    | { readonly kind: "accepted"; readonly version: number; readonly revision: number; }
    /** The command expected another version than the current one, which is returned. */
    | { readonly kind: "conflict"; readonly version: number; }
    | { readonly kind: "unknown-entry"; }
    /** There is no earlier version to roll back to. */
    | { readonly kind: "nothing-to-take-back"; }
    /** The command refers to a rollout or step that is no longer the current one. */
    | { readonly kind: "stale"; };
